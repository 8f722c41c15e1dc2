#pragma once

#include <cstdint>
#include <initializer_list>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

/// Figures of a running host in Prometheus' text format, by prometheus-cpp. docs/METRICS.md lists them all.
namespace Lovageloft
{

/// What tells apart the figures of one name. Values come from small sets: outcomes, services, never requests.
struct MetricLabel
{
    std::string_view name;
    std::string_view value;
};

using MetricLabels = std::initializer_list<MetricLabel>;

/// A registry of counters, gauges and histograms of seconds. Thread-safe.
class Metrics
{
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    /// Adds to a counter, which starts at 0.
    void add(std::string_view name, MetricLabels labels = {}, std::uint64_t amount = 1);

    /// Brings a counter that something else keeps up to `total`.
    void raiseTo(std::string_view name, MetricLabels labels, std::uint64_t total);

    /// Sets a gauge.
    void set(std::string_view name, double value);

    /// Adds one duration to a histogram with bounds from a millisecond to a minute.
    void observe(std::string_view name, MetricLabels labels, double seconds);

    /// The value of a counter, 0 for one never added to.
    std::uint64_t counter(std::string_view name, MetricLabels labels = {}) const;

    /// All figures as Prometheus text.
    std::string text() const;

private:
    struct Families; ///< The library's registry and what has been entered there.

    mutable std::mutex mutex_;
    std::unique_ptr<Families> families_;
};

} // namespace Lovageloft
