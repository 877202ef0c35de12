//! Tests of orders to simulated engines.

use hyper::Method;
use model::{ModelName, View};
use standin::{EngineSettings, Standin, start_engine};

use crate::support::{TestFleet, listed_engine};

const CONFIG_DOCUMENT: &str = "[[class]]\nname = \"hints\"\nwork = \"online\"\nfirst_token_ms = 430\n\
                        between_tokens_ms = 64\n\
                        [[model]]\nname = \"oraculo\"\nonline_class = \"hints\"\n\
                        [[model]]\nname = \"platzbot\"\nonline_class = \"hints\"\n";

async fn start_engines(fleet: &mut TestFleet, ignore_fencing: bool) -> Vec<Standin> {
    let mut engines = Vec::new();
    for (id, region) in [("engine-1", "lima"), ("engine-2", "cusco")] {
        let settings = EngineSettings {
            models: vec![ModelName::new("oraculo")],
            load_model_ms: 200,
            ignore_fencing,
            ..EngineSettings::default()
        };
        let engine = start_engine(settings).await.expect("engine");
        fleet
            .upstreams
            .push(listed_engine(id, region, engine.address()));
        engines.push(engine);
    }
    fleet.publish_listing().await;
    engines
}

fn engines_with(view: &View, model: &str) -> usize {
    let model = ModelName::new(model);
    let upstreams = view.upstreams.iter();
    upstreams.filter(|entry| entry.serves_model(&model)).count()
}

/// Each region has an issuer and lacks the model, but only one of them may load it,
/// also if the engines ignore fencing tokens.
#[tokio::test]
async fn configured_model_is_loaded_once_and_seen_everywhere() {
    for ignore_fencing in [false, true] {
        let mut fleet = TestFleet::start(&["lima", "lima", "cusco"]).await;
        let _engines = start_engines(&mut fleet, ignore_fencing).await;
        let response = fleet.nodes[0]
            .call(Method::PUT, "/v1/config", CONFIG_DOCUMENT)
            .await;
        assert_eq!(response.status, 200, "{response:?}");
        for node in &fleet.nodes {
            node.wait_for_view(|view| engines_with(view, "platzbot") > 0)
                .await;
        }
        let view = fleet.nodes[2].view(0, 0).await.expect("view");
        assert_eq!(engines_with(&view, "platzbot"), 1, "{:?}", view.upstreams);
        assert_eq!(engines_with(&view, "oraculo"), 2, "{:?}", view.upstreams);
    }
}
