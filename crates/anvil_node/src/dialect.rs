//! The dialects that a node speaks at its edges: its own, or those of the platform around it.

use std::sync::Arc;

use anvil_core::{reducer, stopping};
use anvil_edge::{caller, control, target};
use anvil_platform::settings as hosted;
use anvil_platform::{
    callers, control as platform_control, names, store as platform_store, targets,
};
use anvil_store::{http, platform};
use anvil_types::store;

use crate::caller::native as native_callers;
use crate::target::{native as native_targets, parent};
use crate::{counters, settings};

/// What a node speaks, edge by edge.
#[derive(Clone, Debug)]
pub struct NodeDialects {
    /// Towards callers.
    pub callers: Arc<dyn caller::CallerDialect>,
    /// Towards the target.
    pub targets: Arc<dyn target::TargetDialect>,
    /// At the control addresses, where the settings name any.
    pub control: Option<Arc<dyn control::ControlDialect>>,
    /// Towards the store, where the settings name one.
    pub store: Option<Arc<dyn StoreDialect>>,
}

/// A store that threads may share.
pub trait StoreDialect: platform::PlatformStore + std::fmt::Debug + Send + Sync {}

impl<S> StoreDialect for S where S: platform::PlatformStore + std::fmt::Debug + Send + Sync {}

impl NodeDialects {
    /// The dialects that the settings call for.
    pub fn of(
        settings: &settings::NodeSettings,
        mint: &parent::ParentMint,
        counters: &counters::EdgeCounters,
    ) -> Self {
        match &settings.hosted {
            Some(hosted) => Self::of_platform(settings, hosted, counters),
            None => Self::native(settings, mint),
        }
    }

    fn native(settings: &settings::NodeSettings, mint: &parent::ParentMint) -> Self {
        let addresses = &settings.platform;
        let store = (!addresses.is_empty()).then(|| http::HttpStore::new(addresses.clone()));
        Self {
            callers: Arc::new(native_callers::NativeCallers { mint: mint.clone() }),
            targets: Arc::new(native_targets::NativeTargets { mint: mint.clone() }),
            control: None,
            store: store.map(|store| Arc::new(store) as Arc<dyn StoreDialect>),
        }
    }

    fn of_platform(
        settings: &settings::NodeSettings,
        hosted: &hosted::HostedSettings,
        counters: &counters::EdgeCounters,
    ) -> Self {
        let counters = platform_store::StoreCounters {
            unreadable_items: counters.counter(counters::EdgeCause::StoreItemUnreadable),
            era_changes: counters.counter(counters::EdgeCause::StoreEraChanged),
        };
        let store = settings.platform.first().copied();
        let store =
            store.map(|address| platform_store::PlatformStore::new(address, counters.clone()));
        let control = platform_control::PlatformControl {
            lease: hosted.announcement_lease(),
        };
        Self {
            callers: Arc::new(callers::PlatformCallers::new(&hosted.service)),
            targets: Arc::new(targets::PlatformTargets),
            control: Some(Arc::new(control)),
            store: store.map(|store| Arc::new(store) as Arc<dyn StoreDialect>),
        }
    }
}

/// Sets the reducer up for what the settings say of the store and of the platform.
pub fn arrange(
    reducer: reducer::NodeReducer,
    settings: &settings::NodeSettings,
) -> reducer::NodeReducer {
    let Some(hosted) = &settings.hosted else {
        return match settings.platform.is_empty() {
            true => reducer,
            false => reducer.with_store(),
        };
    };
    let plan = stopping::StopPlan {
        linger: hosted.linger(),
        run_linger: hosted.run_linger(),
        limit: Some(hosted.stop_limit()),
    };
    reducer
        .with_rule_document(store::StoreKey::new(names::DESIRED_STATE_KEY))
        .with_stop(plan)
        .with_expected_service(hosted.service.clone())
        .with_fleet_burst(hosted.retry_burst())
}
