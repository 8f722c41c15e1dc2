#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

/// Figures of a running host in Prometheus' text format; distributions by Boost.Accumulators.
namespace Lovageloft
{

/// A registry of counters, gauges and summaries. Thread-safe. A name may carry labels:
/// `lovageloft_requests_total{code="ok"}`.
class Metrics
{
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    /// Adds to a counter, which starts at 0.
    void add(std::string_view name, std::uint64_t amount = 1);

    /// Sets a gauge.
    void set(std::string_view name, double value);

    /// Adds one observation to a summary with the quantiles 0.5, 0.95 and 0.99 (P-square estimates).
    void observe(std::string_view name, double value);

    /// The value of a counter, 0 for one never added to.
    std::uint64_t counter(std::string_view name) const;

    /// All figures as Prometheus text.
    std::string text() const;

private:
    struct Summary;

    mutable std::mutex mutex_;
    std::map<std::string, std::uint64_t, std::less<>> counters_;
    std::map<std::string, double, std::less<>> gauges_;
    std::map<std::string, std::unique_ptr<Summary>, std::less<>> summaries_;
};

} // namespace Lovageloft
