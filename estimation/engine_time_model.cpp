#include "estimation/engine_time_model.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <functional>

namespace Lovageloft
{

namespace
{

using Terms = std::array<double, TimeStatistics::termCount>;
using Matrix = std::array<Terms, TimeStatistics::termCount>;

/// Over which observations decay. Engines of a fleet change their speed with new weights or other machines; a few seconds average over enough prompts.
constexpr std::chrono::seconds decayTime{8};

/// After which the sums of a host that tells nothing more are dropped.
constexpr std::chrono::seconds hostExpiry{10};

/// Weight of the assumed coefficients, in observations whose error is as large as the estimate.
constexpr double priorWeight = 0.5;

/// Weight of observations above the estimate, relative to those below.
constexpr double lateWeight = 0.15;

/// Relative error above which the weight of an observation falls: it says more of a queue than of the engine.
constexpr double largeError = 1;

constexpr double maxCorrection = 20;

/// Added to the estimate by which an error is divided; the time that networks and event loops add to the shortest responses.
constexpr double errorFloorSeconds = 0.01;

Terms termsOf(const PromptWork &work, const TimeCoefficients &assumed)
{
    const double pairs = work.missedTokens * (work.heldTokens + work.missedTokens / 2);
    return {assumed.fixedSeconds, work.missedTokens * assumed.secondsPerToken, pairs * assumed.secondsPerPair};
}

/// Adds weighted products to `statistics`.
void addProducts(TimeStatistics &statistics, const Terms &terms, double response, double weight)
{
    std::size_t product = 0;
    for (std::size_t row = 0; row < terms.size(); ++row) {
        for (std::size_t column = row; column < terms.size(); ++column) {
            statistics.products.at(product++) += weight * terms.at(row) * terms.at(column);
        }
        statistics.responses.at(row) += weight * terms.at(row) * response;
    }
}

void scale(TimeStatistics &statistics, double factor)
{
    for (double &value : statistics.products) {
        value *= factor;
    }
    for (double &value : statistics.responses) {
        value *= factor;
    }
}

void add(TimeStatistics &sum, const TimeStatistics &other)
{
    std::transform(other.products.begin(), other.products.end(), sum.products.begin(), sum.products.begin(), std::plus<>());
    std::transform(other.responses.begin(), other.responses.end(), sum.responses.begin(), sum.responses.begin(), std::plus<>());
}

bool isPlausible(const TimeStatistics &statistics)
{
    const auto isValid = [](double value) { return std::isfinite(value) && value >= 0; };
    return std::all_of(statistics.products.begin(), statistics.products.end(), isValid)
        && std::all_of(statistics.responses.begin(), statistics.responses.end(), isValid);
}

/// The factors of the assumed coefficients that fit best, by Gaussian elimination. The prior makes the matrix positive definite.
Terms solve(const TimeStatistics &statistics)
{
    Matrix matrix{};
    std::size_t product = 0;
    for (std::size_t row = 0; row < matrix.size(); ++row) {
        for (std::size_t column = row; column < matrix.size(); ++column) {
            matrix.at(row).at(column) = statistics.products.at(product);
            matrix.at(column).at(row) = statistics.products.at(product++);
        }
    }
    Terms right = statistics.responses;
    for (std::size_t pivot = 0; pivot < matrix.size(); ++pivot) {
        for (std::size_t row = pivot + 1; row < matrix.size(); ++row) {
            const double factor = matrix.at(row).at(pivot) / matrix.at(pivot).at(pivot);
            for (std::size_t column = pivot; column < matrix.size(); ++column) {
                matrix.at(row).at(column) -= factor * matrix.at(pivot).at(column);
            }
            right.at(row) -= factor * right.at(pivot);
        }
    }
    Terms factors{};
    for (std::size_t step = 0; step < matrix.size(); ++step) {
        const std::size_t row = matrix.size() - 1 - step;
        double value = right.at(row);
        for (std::size_t column = row + 1; column < matrix.size(); ++column) {
            value -= matrix.at(row).at(column) * factors.at(column);
        }
        factors.at(row) = value / matrix.at(row).at(row);
    }
    return factors;
}

} // namespace

EngineTimeModel::EngineTimeModel(const TimeCoefficients &assumed)
    : assumed_(assumed)
    , coefficients_(assumed)
{
}

void EngineTimeModel::observe(const PromptWork &work, double observedSeconds, double expectedWaitSeconds, double pace, TimePoint now)
{
    if (!std::isfinite(observedSeconds) || !std::isfinite(expectedWaitSeconds) || observedSeconds <= 0 || pace <= 0) {
        return;
    }
    decayTo(now);
    const double estimate = seconds(work);
    double usualSeconds = (observedSeconds - expectedWaitSeconds) / pace;
    if (usualSeconds < estimate) {
        // The wait was shorter than expected. If such observations were left out, the slow ones would remain, and the estimate would only rise.
        usualSeconds = std::min(estimate, observedSeconds / pace);
    }
    const double expected = estimate + errorFloorSeconds;
    const double error = usualSeconds / expected - 1;
    const double certainty = 1 / (1 + std::max(0.0, expectedWaitSeconds) / expected);
    double weight = certainty * certainty / (expected * expected);
    if (error > 0) {
        weight *= lateWeight * std::min(1.0, largeError / error);
    }
    addProducts(own_, termsOf(work, assumed_), usualSeconds, weight);
}

TimeStatistics EngineTimeModel::ownStatistics(TimePoint now) const
{
    EngineTimeModel copy(*this);
    copy.decayTo(now);
    return copy.own_;
}

void EngineTimeModel::mergeStatistics(std::uint64_t host, const TimeStatistics &statistics, TimePoint now)
{
    if (isPlausible(statistics)) {
        others_.insert_or_assign(host, HostStatistics{statistics, now});
    }
}

void EngineTimeModel::update(TimePoint now)
{
    decayTo(now);
    std::erase_if(others_, [now](const auto &entry) { return now - entry.second.receivedAt > hostExpiry; });
    TimeStatistics sum = own_;
    for (const auto &[host, other] : others_) {
        add(sum, other.statistics);
    }
    for (std::size_t term = 0; term < TimeStatistics::termCount; ++term) {
        Terms single{};
        single.at(term) = 1;
        addProducts(sum, single, 1, priorWeight);
    }
    const Terms factors = solve(sum);
    const auto corrected = [](double assumed, double factor) { return assumed * std::clamp(factor, 1 / maxCorrection, maxCorrection); };
    if (std::all_of(factors.begin(), factors.end(), [](double factor) { return std::isfinite(factor); })) {
        coefficients_ = {
            corrected(assumed_.fixedSeconds, factors[0]), corrected(assumed_.secondsPerToken, factors[1]), corrected(assumed_.secondsPerPair, factors[2])};
    }
}

double EngineTimeModel::seconds(const PromptWork &work) const
{
    return coefficients_.fixedSeconds + computeSeconds(work);
}

double EngineTimeModel::computeSeconds(const PromptWork &work) const
{
    const Terms terms = termsOf(work, coefficients_);
    return terms[1] + terms[2];
}

void EngineTimeModel::decayTo(TimePoint now)
{
    if (now <= decayedTo_) {
        return;
    }
    scale(own_, std::exp(-toSeconds(now - decayedTo_) / toSeconds(decayTime)));
    decayedTo_ = now;
}

} // namespace Lovageloft
