//! Table-driven tests with a name for each case.

/// Turns each `name => (arguments)` line into a test of that name which calls `$check` with the
/// arguments, so that each case of a table passes or fails by its own name.
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
