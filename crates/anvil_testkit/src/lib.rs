//! Helps tests to name their cases, so that a failing run says which case failed.

/// Turns each `name => (arguments)` line into a test of that name which calls `$check` with the
/// arguments, so that a table of cases reads as a table and still fails case by case.
#[macro_export]
macro_rules! test_cases {
    ($check:ident: $($name:ident => ($($argument:expr),* $(,)?)),+ $(,)?) => {
        $(
            #[test]
            fn $name() {
                $check($($argument),*);
            }
        )+
    };
}
