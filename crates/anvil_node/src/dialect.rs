//! The dialects that a node uses at its edges: its own, or those of the platform that hosts it.

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

/// The dialects of a node, one per edge.
#[derive(Clone, Debug)]
pub struct NodeDialects {
    /// Towards callers.
    pub callers: Arc<dyn caller::CallerDialect>,
    /// Towards the target.
    pub targets: Arc<dyn target::TargetDialect>,
    /// At the control addresses, if the settings name any.
    pub control: Option<Arc<dyn control::ControlDialect>>,
    /// Towards the store, if the settings name one.
    pub store: Option<Arc<dyn StoreDialect>>,
}

/// A store client that threads can share.
pub trait StoreDialect: platform::PlatformStore + std::fmt::Debug + Send + Sync {}

impl<S> StoreDialect for S where S: platform::PlatformStore + std::fmt::Debug + Send + Sync {}

impl NodeDialects {
    /// Selects the dialects by the settings.
    pub fn from_settings(
        settings: &settings::NodeSettings,
        issuer: &parent::TokenIssuer,
        counters: &counters::EdgeCounters,
    ) -> Self {
        match &settings.hosted {
            Some(hosted) => Self::platform(settings, hosted, counters),
            None => Self::native(settings, issuer),
        }
    }

    fn native(settings: &settings::NodeSettings, issuer: &parent::TokenIssuer) -> Self {
        let addresses = &settings.platform;
        let store = (!addresses.is_empty()).then(|| http::HttpStore::new(addresses.clone()));
        Self {
            callers: Arc::new(native_callers::NativeCallers {
                issuer: issuer.clone(),
            }),
            targets: Arc::new(native_targets::NativeTargets {
                issuer: issuer.clone(),
            }),
            control: None,
            store: store.map(|store| Arc::new(store) as Arc<dyn StoreDialect>),
        }
    }

    fn platform(
        settings: &settings::NodeSettings,
        hosted: &hosted::HostedSettings,
        counters: &counters::EdgeCounters,
    ) -> Self {
        let unreadable_rows = counters.unreadable_rows();
        let counters = platform_store::StoreCounters {
            unreadable_items: counters.counter(counters::EdgeCause::StoreItemUnreadable),
            era_changes: counters.counter(counters::EdgeCause::StoreEraChanged),
        };
        let store = settings.platform.first().copied();
        let store = store.map(|address| {
            platform_store::PlatformStore::new(address, counters)
                .with_unreadable_rows(unreadable_rows.clone())
        });
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

/// Configures the reducer for the store and the platform that the settings name.
pub fn configure(
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
    let reducer = match hosted.retry_burst() {
        Some(burst) => reducer.with_fleet_burst(burst),
        None => reducer,
    };
    reducer
        .with_rule_document(store::StoreKey::new(names::DESIRED_STATE_KEY))
        .with_stop(plan)
        .with_expected_service(hosted.service.clone())
        .with_target_checks()
}
