#include "core/metrics.h"

#include <array>
#include <sstream>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

namespace Lovageloft
{

namespace
{

constexpr std::array<double, 3> quantiles{0.5, 0.95, 0.99};

using Accumulator = boost::accumulators::accumulator_set<
    double,
    boost::accumulators::stats<boost::accumulators::tag::count, boost::accumulators::tag::sum, boost::accumulators::tag::extended_p_square>>;

std::string_view withoutLabels(std::string_view name)
{
    return name.substr(0, name.find('{'));
}

/// Prints the TYPE line once for each family; names come sorted, so a family stands together.
void writeType(std::ostream &out, std::string &lastFamily, std::string_view name, std::string_view type)
{
    const std::string_view family = withoutLabels(name);
    if (family == lastFamily) {
        return;
    }
    lastFamily = family;
    out << "# TYPE " << family << ' ' << type << '\n';
}

} // namespace

struct Metrics::Summary
{
    Accumulator accumulator{boost::accumulators::tag::extended_p_square::probabilities = quantiles};
};

Metrics::Metrics() = default;
Metrics::~Metrics() = default;

void Metrics::add(std::string_view name, std::uint64_t amount)
{
    const std::lock_guard lock(mutex_);
    auto entry = counters_.find(name);
    if (entry == counters_.end()) {
        entry = counters_.emplace(name, 0).first;
    }
    entry->second += amount;
}

void Metrics::set(std::string_view name, double value)
{
    const std::lock_guard lock(mutex_);
    gauges_.insert_or_assign(std::string(name), value);
}

void Metrics::observe(std::string_view name, double value)
{
    const std::lock_guard lock(mutex_);
    auto entry = summaries_.find(name);
    if (entry == summaries_.end()) {
        entry = summaries_.emplace(name, std::make_unique<Summary>()).first;
    }
    entry->second->accumulator(value);
}

std::uint64_t Metrics::counter(std::string_view name) const
{
    const std::lock_guard lock(mutex_);
    const auto entry = counters_.find(name);
    return entry == counters_.end() ? 0 : entry->second;
}

std::string Metrics::text() const
{
    const std::lock_guard lock(mutex_);
    std::ostringstream out;
    std::string lastFamily;
    for (const auto &[name, value] : counters_) {
        writeType(out, lastFamily, name, "counter");
        out << name << ' ' << value << '\n';
    }
    for (const auto &[name, value] : gauges_) {
        writeType(out, lastFamily, name, "gauge");
        out << name << ' ' << value << '\n';
    }
    for (const auto &[name, summary] : summaries_) {
        writeType(out, lastFamily, name, "summary");
        const auto estimates = boost::accumulators::extended_p_square(summary->accumulator);
        for (std::size_t i = 0; i < quantiles.size(); ++i) {
            out << name << "{quantile=\"" << quantiles[i] << "\"} " << estimates[i] << '\n';
        }
        out << name << "_sum " << boost::accumulators::sum(summary->accumulator) << '\n';
        out << name << "_count " << boost::accumulators::count(summary->accumulator) << '\n';
    }
    return out.str();
}

} // namespace Lovageloft
