//! Registers the metrics under the names and descriptions that operators see.

use super::Metrics;

impl Metrics {
    pub(super) fn register(&mut self) {
        let r = &mut self.registry;
        r.register("requests", "Requests that arrived", self.requests.clone());
        r.register("errors", "Answers that are not a success", self.errors.clone());
        r.register(
            "first_event_seconds",
            "Time to the first event",
            self.first_event_seconds.clone(),
        );
        r.register("prediction_ratio", "Predicted over real time", self.prediction_ratio.clone());
        let what = "Time between forecast and actual start of queued requests";
        r.register("forecast_error_seconds", what, self.forecast_error_seconds.clone());
        r.register("retries", "Requests sent again", self.retries.clone());
        let what = "Repeats that the fleet's retry budget granted or refused";
        r.register("budgeted_repeats", what, self.budgeted_retries.clone());
        let what = "Those beside an attempt that is silent";
        r.register("budgeted_hedges", what, self.budgeted_hedges.clone());
        r.register(
            "suspected_placements",
            "Placements at upstreams that have failed recently",
            self.suspected_placements.clone(),
        );
        r.register(
            "resumed_streams",
            "Streams that went on elsewhere",
            self.resumed_streams.clone(),
        );
        r.register(
            "silences",
            "Silences of upstreams by phase of the response",
            self.silences.clone(),
        );
        r.register("connections", "Connections opened to upstreams", self.connections.clone());
        let what = "Requests to peers for tunnels to upstreams";
        r.register("tunnels", what, self.tunnels.clone());
        let what = "Tunnels that this VM carries for peers";
        r.register("carried_tunnels", what, self.carried_tunnels.clone());
        let what = "Groups of upstreams that this VM cannot connect to while peers can";
        r.register("partitions", what, self.partitions.clone());
        r.register("directory_calls", "Calls to the directory", self.directory_calls.clone());
        r.register("directory_failures", "Failed calls to it", self.directory_failures.clone());
        r.register("peer_messages", "Messages sent to peers", self.heartbeats.clone());
        let what = "Bytes of the datagrams sent to peers";
        r.register("peer_sent_bytes", what, self.peer_bytes.clone());
        r.register("peer_reads", "Texts read from peers", self.peer_reads.clone());
        let what = "Time from the start of the process to each step of it";
        r.register("startup_seconds", what, self.startup_seconds.clone());
        let what = "Requests that waited for a step of the start";
        r.register("startup_waits", what, self.startup_waits.clone());
        r.register("engine_reports", "Reports asked for at engines", self.engine_reports.clone());
        let what = "Report requests about engines that send nothing while memory is reserved";
        r.register("liveness_replies", what, self.liveness_replies.clone());
        let what =
            "Attempts that ended since the reports of their engine did not show that it is alive";
        r.register("liveness_endings", what, self.liveness_endings.clone());
        let what = "Report requests of the scheduler by reason, where evidence decides on them";
        r.register("report_requests", what, self.report_requests.clone());
        let what = "Engines that attempts put in doubt, by the first sign of a fault";
        r.register("engine_doubts", what, self.engine_doubts.clone());
        let what = "Requests, parts and orders sent to upstreams";
        r.register("upstream_messages", what, self.upstream_messages.clone());
        let what = "Tasks that were started again after a panic";
        r.register("restarted_tasks", what, self.restarted_tasks.clone());
        let what = "Times that the directory came back from an older copy";
        r.register("directory_restored", what, self.directory_restores.clone());
        let what = "Requests for which upstreams were at their rate limits";
        r.register("rate_limited_requests", what, self.rate_limited.clone());
        let what = "Upstreams that name a rate limit";
        r.register("limited_upstreams", what, self.limited_upstreams.clone());
        let what = "Answers whose upstream says that it leaves, wants a rest or takes only so much";
        r.register("upstream_notices", what, self.upstream_notices.clone());
        let what = "Requests under which an upstream ended";
        r.register("upstream_endings", what, self.crashes.clone());
        r.register("quarantined", "Requests kept from all upstreams", self.quarantined.clone());
        r.register("suspects", "Requests that are held or run alone", self.suspects.clone());
        let what = "Entries of the directory that name nothing to use";
        r.register("unreadable_entries", what, self.unreadable_entries.clone());
        r.register("drained_halls", "Data halls that are drained", self.drained_halls.clone());
        let what = "Answers given up since their callers read too slowly";
        r.register("answers_given_up", what, self.aborted_responses.clone());
        r.register("unread_bytes", "Bytes that callers have not read", self.unread_bytes.clone());
        let what = "Requests aborted since bodies of requests and responses used too much memory";
        r.register("aborted_requests", what, self.aborted_requests.clone());
        let what =
            "Request bodies dropped since bodies used too much memory, of requests that went on";
        r.register("released_bodies", what, self.released_bodies.clone());
        let what =
            "Bytes of request bodies held for upstreams, and of responses that are collected";
        r.register("unsent_bytes", what, self.unsent_bytes.clone());
        r.register(
            "waiting",
            "Requests of all VMs that wait for a place here",
            self.queue_len.clone(),
        );
        let what = "Times for rejected callers to return that were promised, not promised, kept or passed unused";
        r.register("promises", what, self.promises.clone());
        let what = "Promised times that the scheduler of this VM stores";
        r.register("stored_promises", what, self.stored_promises.clone());
        let what = "Decisions of this VM's scheduler by forecasts";
        r.register("scheduler_decisions", what, self.decisions.clone());
        let what = "Engines that this VM's scheduler keeps free of long prompts";
        r.register("kept_engines", what, self.kept_engines.clone());
        r.register(
            "settings_version",
            "The settings version in force",
            self.settings_version.clone(),
        );
        r.register("settings_age_ms", "Age of the settings", self.settings_age_ms.clone());
        r.register("attempts", "Attempts under way", self.attempts.clone());
        r.register("peers", "Peers that are heard", self.peers.clone());
    }
}
