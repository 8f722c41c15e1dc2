#include "gateway/gauges.h"

#include "core/log.h"
#include "gateway/gateway.h"

namespace Lovageloft
{

void updateGauges(Metrics &metrics, const Gateway &gateway)
{
    const TimePoint now = BootClock::now();
    const auto table = gateway.table();
    metrics.set("lovageloft_requests_waiting", static_cast<double>(gateway.dispatch().waitingCount()));
    metrics.set("lovageloft_requests_running", static_cast<double>(gateway.dispatch().runningCount()));
    // How old the proof is that the configuration is the newest one; before the first configuration, the time since the clock's epoch.
    metrics.set("lovageloft_key_proof_age_seconds", toSeconds(gateway.proofAge(now)));
    metrics.set("lovageloft_caller_buffer_bytes", static_cast<double>(gateway.callerBuffers().reserved()));
    metrics.set("lovageloft_caller_connections", static_cast<double>(gateway.callerConnections().count()));
    metrics.set("lovageloft_caller_connection_bytes", static_cast<double>(gateway.callerConnections().bytes()));
    metrics.set("lovageloft_idle_target_connections", static_cast<double>(gateway.pool().idleCount()));
    metrics.set("lovageloft_links_lost", static_cast<double>(gateway.paths().links().lostCount()));
    metrics.set("lovageloft_relayed_connections", static_cast<double>(gateway.relayServer().count()));
    metrics.set("lovageloft_configuration_version", table != nullptr ? static_cast<double>(table->version) : 0);
    metrics.set("lovageloft_targets_known", static_cast<double>(gateway.targets().all().size()));
    // For how long the list of engines has been out of date.
    metrics.set("lovageloft_targets_overdue_seconds", toSeconds(gateway.dispatch().engineListOverdue(now)));
    // 0 also if no weights are known.
    metrics.set("lovageloft_weights_age_seconds", toSeconds(now - gateway.targets().newestPublishedAt().value_or(now)));
    metrics.set("lovageloft_requests_quarantined", static_cast<double>(gateway.fleet().crashes().quarantinedCount(now)));
    metrics.set("lovageloft_ready", gateway.isReady(now) ? 1 : 0);
    metrics.set("lovageloft_leader", gateway.leader() == gateway.hostName() ? 1 : 0);
    for (const PeerTraffic &row : gateway.fleet().traffic().rows()) {
        const std::string_view scope = row.isRemote ? "remote" : "local";
        metrics.raiseTo("lovageloft_peer_datagrams_total", {{"message", row.message}, {"direction", "sent"}, {"scope", scope}}, row.sentDatagrams);
        metrics.raiseTo("lovageloft_peer_datagrams_total", {{"message", row.message}, {"direction", "received"}, {"scope", scope}}, row.receivedDatagrams);
        metrics.raiseTo("lovageloft_peer_bytes_total", {{"message", row.message}, {"direction", "sent"}, {"scope", scope}}, row.sentBytes);
        metrics.raiseTo("lovageloft_peer_bytes_total", {{"message", row.message}, {"direction", "received"}, {"scope", scope}}, row.receivedBytes);
    }
    metrics.set("lovageloft_targets_stating", static_cast<double>(gateway.statements().table().inForce().size()));
    const SendPermits::Counts &permits = gateway.statements().permits().counts();
    metrics.raiseTo("lovageloft_send_permits_total", {{"result", "granted"}}, permits.granted);
    metrics.raiseTo("lovageloft_send_permits_total", {{"result", "denied"}}, permits.denied);
    metrics.raiseTo("lovageloft_send_permits_total", {{"result", "timed_out"}}, permits.timedOut);
    metrics.raiseTo("lovageloft_send_permits_total", {{"result", "own"}}, permits.own);
    const SlotLeases::Counts &slots = gateway.statements().permits().slots().counts();
    metrics.raiseTo("lovageloft_target_slots_total", {{"result", "granted"}}, slots.granted);
    metrics.raiseTo("lovageloft_target_slots_total", {{"result", "returned"}}, slots.returned);
    metrics.raiseTo("lovageloft_target_slots_total", {{"result", "own"}}, slots.own);
    for (const EngineGroupState &state : gateway.dispatch().engineGroups()) {
        metrics.set("lovageloft_engines_for_short_prompts", {{"model", state.model}}, state.boundary);
        metrics.set("lovageloft_engine_seconds_per_token", {{"model", state.model}}, state.times.secondsPerToken);
    }
    const LogCounts lines = logCounts();
    metrics.raiseTo("lovageloft_log_lines_dropped_total", {}, lines.dropped);
    for (const auto &[event, count] : lines.suppressed) {
        metrics.raiseTo("lovageloft_log_lines_suppressed_total", {{"event", event}}, count);
    }
}

} // namespace Lovageloft
