#pragma once

#include <cstdint>
#include <initializer_list>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

/// Metrics of a host in the Prometheus text format, by prometheus-cpp. docs/METRICS.md lists them all.
namespace Lovageloft
{

/// A label of a metric. Its values must come from a small set, such as outcomes or services, but not request ids.
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

    /// Adds `amount` to a counter, which starts at 0.
    void add(std::string_view name, MetricLabels labels = {}, std::uint64_t amount = 1);

    /// Raises a counter to `total`, which is counted elsewhere. Does nothing if the counter is higher.
    void raiseTo(std::string_view name, MetricLabels labels, std::uint64_t total);

    /// Sets a gauge.
    void set(std::string_view name, double value);
    void set(std::string_view name, MetricLabels labels, double value);

    /// Adds a duration to a histogram with bucket bounds from a millisecond to a minute.
    void observe(std::string_view name, MetricLabels labels, double seconds);

    /// The value of a counter; 0 if nothing was added to it.
    std::uint64_t counter(std::string_view name, MetricLabels labels = {}) const;

    /// All metrics in the Prometheus text format.
    std::string text() const;

private:
    struct Families; ///< The library's registry and the metric families in it.

    mutable std::mutex mutex_;
    std::unique_ptr<Families> families_;
};

} // namespace Lovageloft
