#include "core/metrics.h"

#include <algorithm>
#include <array>
#include <functional>
#include <map>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace Lovageloft
{

namespace
{

/// Bucket bounds in seconds, from the wait for a free target to the longest stream. Close enough to distinguish the usual latency targets.
const prometheus::Histogram::BucketBoundaries secondBounds{0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 1, 1.5, 2.5, 5, 10, 30, 60};

struct Description
{
    std::string_view name;
    const char *help;
};

constexpr auto descriptions = std::to_array<Description>({
    {"lovageloft_cached_tokens_total", "Prompt tokens that targets found in their cache."},
    {"lovageloft_caller_buffer_bytes", "Bytes of responses and request bodies that this host holds for callers."},
    {"lovageloft_configuration_version", "Version of the configuration held."},
    {"lovageloft_engine_failures_total", "Attempts that failed at a target, by result."},
    {"lovageloft_engine_reports_missed_total", "Reports of engines that did not come."},
    {"lovageloft_first_byte_seconds", "Time from reading a request to the first byte of its answer."},
    {"lovageloft_first_token_seconds", "Time from a request's arrival to its first token."},
    {"lovageloft_fresh", "1 while new work may begin under the configuration held."},
    {"lovageloft_idle_target_connections", "Connections to targets that are kept for later requests."},
    {"lovageloft_key_proof_age_seconds", "Age of the proof that the configuration held is the newest."},
    {"lovageloft_leader", "1 while this host orders the engines."},
    {"lovageloft_links_lost", "Targets that this host does not reach directly."},
    {"lovageloft_log_lines_dropped_total", "Log lines that found the log's queue full."},
    {"lovageloft_log_lines_suppressed_total", "Log lines above their event's rate, by event."},
    {"lovageloft_peer_calls_dropped_total", "Calls to other hosts that found the queue full."},
    {"lovageloft_peer_calls_failed_total", "Calls to other hosts that failed."},
    {"lovageloft_peers_refused_total", "Connections of other hosts that did not prove who they are."},
    {"lovageloft_prompt_tokens_total", "Prompt tokens of answered requests."},
    {"lovageloft_queue_seconds", "Time from reading a request to sending it to its first target."},
    {"lovageloft_ready", "1 while the balancer is told to send callers."},
    {"lovageloft_relay_connects_total", "Attempts to connect to a target through another host, by direction and result."},
    {"lovageloft_relayed_connections", "Connections of other hosts that this host relays to targets."},
    {"lovageloft_remote_debits_total", "Requests charged to shares of other hosts."},
    {"lovageloft_request_seconds", "Time from reading a request to the end of its answer."},
    {"lovageloft_requests_ended_total", "Requests by how they ended."},
    {"lovageloft_requests_quarantined", "Requests and parts of prompts that are sent to no target, as targets ended when they ran them."},
    {"lovageloft_requests_running", "Requests at a target."},
    {"lovageloft_requests_total", "Requests read."},
    {"lovageloft_requests_waiting", "Requests that wait for a target."},
    {"lovageloft_version_first_byte_seconds", "Time from sending a request to the first byte of the answer, by software version, during a rollout."},
    {"lovageloft_version_requests_total", "Requests by software version of their first target and by outcome, during a rollout."},
    {"lovageloft_peer_bytes_total", "Bytes of datagrams between hosts, by kind of message, direction, and whether they cross data centres."},
    {"lovageloft_peer_datagrams_total", "Datagrams between hosts, by kind of message, direction, and whether they cross data centres."},
    {"lovageloft_sends_total", "Requests sent to targets, first or again."},
    {"lovageloft_stream_resumptions_total", "Requests that resume a stream, by how much is known of the version that began it, and from where."},
    {"lovageloft_caller_connections", "Open connections of callers."},
    {"lovageloft_caller_connection_bytes", "Memory of callers' connections, without bodies of requests and answers."},
    {"lovageloft_callers_closed_total", "Connections of callers closed as there were too many, or for the memory that others need, by what they did."},
    {"lovageloft_messages_refused_total", "Messages of callers refused before they were requests, as malformed, too long or too large for the memory left."},
    {"lovageloft_target_list_gaps_total", "Times without news of the targets in which a software version may have come and gone unseen."},
    {"lovageloft_target_connects_total", "Attempts to connect directly to a target, by result."},
    {"lovageloft_store_call_seconds", "Time of answered calls to the store, by call; watches wait on purpose."},
    {"lovageloft_store_calls_total", "Calls to the store, by call and result."},
    {"lovageloft_store_failures_total", "Readings of the configuration that failed."},
    {"lovageloft_target_fields_unknown_total", "Header fields of answers that have the form of a statement and are not known to this build."},
    {"lovageloft_target_statements_ambiguous_total", "Statements of targets that can't be read, or are made twice with one answer."},
    {"lovageloft_target_leaves_total", "Targets that came to be known as leaving, by where this host has it from."},
    {"lovageloft_target_rests_total", "Times that a target asked this host for rest with a rejection."},
    {"lovageloft_target_statements_total", "Statements that targets made about themselves with their answers."},
    {"lovageloft_targets_known", "Targets that the store lists."},
    {"lovageloft_targets_overdue_seconds", "For how long a change of the targets in use has been due and not made."},
    {"lovageloft_send_permits_total", "Permits to send to targets that state a rate limit, by result."},
    {"lovageloft_target_slots_total", "Slots at targets that state a rejection limit: granted, given back unused, or from this host's own share."},
    {"lovageloft_target_loads_malformed_total", "Loads of targets that can't be read."},
    {"lovageloft_engines_for_short_prompts", "Fraction of a model's engines that takes no long prompts; 0 while they are not divided."},
    {"lovageloft_engine_seconds_per_token", "Learned time that engines take for a prompt token, where hosts adapt to engines."},
    {"lovageloft_targets_stating", "Statements of targets in force, of all kinds."},
    {"lovageloft_weights_age_seconds", "Time since the newest weights were named, as this host reckons it; 0 before any."},
});

const char *helpOf(std::string_view name)
{
    const auto *found = std::find_if(descriptions.begin(), descriptions.end(), [name](const Description &item) { return item.name == name; });
    return found == descriptions.end() ? "" : found->help;
}

prometheus::Labels ownedLabels(MetricLabels labels)
{
    prometheus::Labels owned;
    for (const MetricLabel &label : labels) {
        owned.emplace(label.name, label.value);
    }
    return owned;
}

template <typename Metric>
using FamilyMap = std::map<std::string, prometheus::Family<Metric> *, std::less<>>;

/// The metric family with this name; created on first use.
template <typename Metric, typename Build>
prometheus::Family<Metric> &familyOf(FamilyMap<Metric> &families, std::string_view name, prometheus::Registry &registry, Build build)
{
    auto found = families.find(name);
    if (found == families.end()) {
        auto &family = build().Name(std::string(name)).Help(helpOf(name)).Register(registry);
        found = families.emplace(name, &family).first;
    }
    return *found->second;
}

} // namespace

struct Metrics::Families
{
    prometheus::Counter &counter(std::string_view name, MetricLabels labels)
    {
        return familyOf(counters, name, registry, &prometheus::BuildCounter).Add(ownedLabels(labels));
    }

    prometheus::Registry registry;
    FamilyMap<prometheus::Counter> counters;
    FamilyMap<prometheus::Gauge> gauges;
    FamilyMap<prometheus::Histogram> histograms;
};

Metrics::Metrics()
    : families_(std::make_unique<Families>())
{
}

Metrics::~Metrics() = default;

void Metrics::add(std::string_view name, MetricLabels labels, std::uint64_t amount)
{
    const std::lock_guard lock(mutex_);
    families_->counter(name, labels).Increment(static_cast<double>(amount));
}

void Metrics::raiseTo(std::string_view name, MetricLabels labels, std::uint64_t total)
{
    const std::lock_guard lock(mutex_);
    prometheus::Counter &counter = families_->counter(name, labels);
    counter.Increment(std::max(0.0, static_cast<double>(total) - counter.Value()));
}

void Metrics::set(std::string_view name, double value)
{
    set(name, {}, value);
}

void Metrics::set(std::string_view name, MetricLabels labels, double value)
{
    const std::lock_guard lock(mutex_);
    familyOf(families_->gauges, name, families_->registry, &prometheus::BuildGauge).Add(ownedLabels(labels)).Set(value);
}

void Metrics::observe(std::string_view name, MetricLabels labels, double seconds)
{
    const std::lock_guard lock(mutex_);
    familyOf(families_->histograms, name, families_->registry, &prometheus::BuildHistogram).Add(ownedLabels(labels), secondBounds).Observe(seconds);
}

std::uint64_t Metrics::counter(std::string_view name, MetricLabels labels) const
{
    const std::lock_guard lock(mutex_);
    return static_cast<std::uint64_t>(families_->counter(name, labels).Value());
}

std::string Metrics::text() const
{
    const std::lock_guard lock(mutex_);
    return prometheus::TextSerializer().Serialize(families_->registry.Collect());
}

} // namespace Lovageloft
