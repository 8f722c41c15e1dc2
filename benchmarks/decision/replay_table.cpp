#include <array>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "replay/replay.h"

// Prints the results of every strategy on every trace: replay_table [--scale S] [--load L] [--seed N] [--seeds COUNT] [--trace NAME] [--policy NAME]
// [--deployment NAME] [--set NAME=VALUE].
// `--write FILE` writes the requests of the first selected trace as JSON lines instead.

using namespace Lovageloft;

namespace
{

struct Options
{
    double scale = 1;
    double load = 1;
    std::uint64_t seed = 1;
    std::uint64_t seeds = 1;
    std::string trace;
    std::string strategy;
    std::string deployment;
    std::string file;
    PlacementPolicy placement;
};

/// Placement parameters that `--set` can change.
const std::map<std::string, double PlacementPolicy::*, std::less<>> settings{{"splitLoad", &PlacementPolicy::splitLoad},
                                                                             {"recomputeWeight", &PlacementPolicy::recomputeWeight},
                                                                             {"secondMargin", &PlacementPolicy::laterWinnerMargin},
                                                                             {"openWait", &PlacementPolicy::maxWaitWindowOpen},
                                                                             {"closedWait", &PlacementPolicy::maxWaitWindowFull},
                                                                             {"holdSlack", &PlacementPolicy::holdSlack},
                                                                             {"fallbackMargin", &PlacementPolicy::fallbackMargin},
                                                                             {"pressureWeight", &PlacementPolicy::meanWaitWeight},
                                                                             {"copyMargin", &PlacementPolicy::replicaMargin},
                                                                             {"strayMargin", &PlacementPolicy::nonWinnerMargin}};

void applySetting(PlacementPolicy &placement, std::string_view assignment)
{
    const std::size_t equals = assignment.find('=');
    const auto setting = settings.find(assignment.substr(0, equals));
    if (setting == settings.end() || equals == std::string_view::npos) {
        std::cerr << "no such setting: " << assignment << '\n';
        std::exit(2); // NOLINT(concurrency-mt-unsafe)
    }
    placement.*setting->second = std::strtod(assignment.data() + equals + 1, nullptr); // NOLINT(bugprone-suspicious-stringview-data-usage)
}

Options parseOptions(int argc, char **argv)
{
    Options options;
    for (int i = 1; i + 1 < argc; i += 2) {
        const std::string_view name = argv[i];
        const char *value = argv[i + 1];
        if (name == "--scale") {
            options.scale = std::strtod(value, nullptr);
        } else if (name == "--load") {
            options.load = std::strtod(value, nullptr);
        } else if (name == "--seed") {
            options.seed = std::strtoull(value, nullptr, 10);
        } else if (name == "--seeds") {
            options.seeds = std::strtoull(value, nullptr, 10);
        } else if (name == "--trace") {
            options.trace = value;
        } else if (name == "--policy") {
            options.strategy = value;
        } else if (name == "--deployment") {
            options.deployment = value;
        } else if (name == "--write") {
            options.file = value;
        } else if (name == "--set") {
            applySetting(options.placement, value);
        }
    }
    return options;
}

void writeTrace(const Trace &trace, const std::string &path)
{
    std::ofstream file(path);
    for (const TraceRequest &request : trace.requests) {
        file << formatTraceRequest(request) << '\n';
    }
}

/// Returns the means of rates and times over the seeds; counts are summed.
ReplayResult meanResult(std::span<const Trace> traces, const StrategySpec &strategy, const Options &options)
{
    static constexpr std::array means{&ReplayResult::hitRate,
                                      &ReplayResult::p50FirstToken,
                                      &ReplayResult::p99FirstToken,
                                      &ReplayResult::p99ServedFirstToken,
                                      &ReplayResult::recomputedTokens,
                                      &ReplayResult::worstTeamShare,
                                      &ReplayResult::goodput,
                                      &ReplayResult::busyFraction,
                                      &ReplayResult::detectionSeconds};
    static constexpr std::array sums{
        &ReplayResult::refused, &ReplayResult::wronglyRefused, &ReplayResult::inRateRequests, &ReplayResult::detections, &ReplayResult::falseEjections};
    ReplayResult mean;
    mean.worstTeamShare = 0;
    std::uint64_t seed = options.seed;
    for (const Trace &trace : traces) {
        const ReplayResult result = Replay(trace, strategy, seed++, options.placement).run();
        for (const auto member : means) {
            mean.*member += result.*member / static_cast<double>(traces.size());
        }
        for (const auto member : sums) {
            mean.*member += result.*member;
        }
    }
    return mean;
}

void printRow(std::string_view deployment, std::string_view trace, std::string_view strategy, const ReplayResult &result)
{
    std::printf("| %s | %s | %s | %.3f | %.2f | %.2f | %.2f | %.1f | %.3f | %.2f | %.0f | %zu | %.2f | %.1f | %zu | %zu |\n",
                std::string(deployment).c_str(),
                std::string(trace).c_str(),
                std::string(strategy).c_str(),
                result.hitRate,
                result.p50FirstToken,
                result.p99FirstToken,
                result.p99ServedFirstToken,
                result.recomputedTokens / 1e6,
                result.worstTeamShare,
                result.inRateRequests == 0 ? 0.0 : 1000.0 * static_cast<double>(result.wronglyRefused) / static_cast<double>(result.inRateRequests),
                result.goodput / 1e3,
                result.refused,
                result.busyFraction,
                result.detectionSeconds,
                result.detections,
                result.falseEjections);
    std::fflush(stdout);
}

void runAll(const Options &options)
{
    std::puts("| deployment | trace | policy | hit rate | p50 s | p99 s | p99 of served s | recomputed Mtokens | worst team's share | wrong refusals in 1,000 "
              "| goodput ktok/s | refused | busy | to detect s | detections | false ejections |");
    std::puts("|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|");
    for (const Deployment deployment : {Deployment::YearbookDesk, Deployment::Pamoja}) {
        const std::string_view deployed = deploymentName(deployment);
        if (!options.deployment.empty() && options.deployment != deployed) {
            continue;
        }
        for (const TraceShape &shape : traceShapes()) {
            if (!options.trace.empty() && options.trace != shape.name) {
                continue;
            }
            std::vector<Trace> traces;
            for (std::uint64_t seed = options.seed; seed < options.seed + options.seeds; ++seed) {
                traces.push_back(makeTrace(shape, deployment, seed, options.scale, options.load));
            }
            if (!options.file.empty()) {
                writeTrace(traces.front(), options.file);
                return;
            }
            for (const StrategySpec &strategy : strategySpecs()) {
                if (!options.strategy.empty() && options.strategy != strategy.name) {
                    continue;
                }
                printRow(deployed, shape.name, strategy.name, meanResult(traces, strategy, options));
            }
        }
    }
}

} // namespace

int main(int argc, char **argv)
{
    runAll(parseOptions(argc, argv));
    return 0;
}
