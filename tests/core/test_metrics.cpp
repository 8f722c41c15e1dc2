#include <filesystem>
#include <set>

#include <boost/test/unit_test.hpp>

#include "core/metrics.h"
#include "tests/core/source_text.h"

using namespace Lovageloft;

BOOST_AUTO_TEST_SUITE(MetricsTest)

BOOST_AUTO_TEST_CASE(countersGaugesAndHistogramsComeAsPrometheusText)
{
    Metrics metrics;
    metrics.add("lovageloft_requests_total", {{"code", "ok"}});
    metrics.add("lovageloft_requests_total", {{"code", "ok"}}, 2);
    metrics.set("lovageloft_ready", 1);
    metrics.observe("lovageloft_request_seconds", {{"kind", "stream"}}, 0.3);
    metrics.raiseTo("lovageloft_log_lines_dropped_total", {}, 7);
    metrics.raiseTo("lovageloft_log_lines_dropped_total", {}, 5);
    BOOST_TEST(metrics.counter("lovageloft_requests_total", {{"code", "ok"}}) == 3U);
    BOOST_TEST(metrics.counter("lovageloft_requests_total", {{"code", "other"}}) == 0U);
    const std::string text = metrics.text();
    for (const char *line : {"# TYPE lovageloft_requests_total counter",
                             "lovageloft_requests_total{code=\"ok\"} 3",
                             "lovageloft_ready 1",
                             "lovageloft_request_seconds_bucket{kind=\"stream\",le=\"0.2\"} 0",
                             "lovageloft_request_seconds_bucket{kind=\"stream\",le=\"0.4\"} 1",
                             "lovageloft_log_lines_dropped_total 7"}) {
        BOOST_TEST(text.find(line) != std::string::npos, line);
    }
}

BOOST_AUTO_TEST_CASE(eachFigureHasAHelpTextAndStandsOnThePage)
{
    // An engineer meets a figure on a chart and finds it nowhere explained, or looks for one that no program serves.
    std::set<std::string> used;
    for (const char *folder : {"gateway", "main", "servers"}) {
        for (const auto &file : std::filesystem::directory_iterator(folder)) {
            if (file.path().extension() == ".cpp") {
                used.merge(matchesIn(readAll(file.path()), R"re("(lovageloft_[a-z_]+)")re"));
            }
        }
    }
    const auto helped = matchesIn(readAll("core/metrics.cpp"), R"re(\{"(lovageloft_[a-z_]+)", ")re");
    const auto documented = matchesIn(readAll("docs/METRICS.md"), R"(\n\| `(lovageloft_[a-z_]+)` \|)");
    BOOST_TEST(used.size() > 20U);
    for (const std::string &name : used) {
        BOOST_TEST(helped.contains(name), name << " has no help text");
        BOOST_TEST(documented.contains(name), name << " is missing in docs/METRICS.md");
    }
    BOOST_TEST((helped == documented));
    for (const std::string &name : documented) {
        BOOST_TEST(used.contains(name), name << " is served by nobody");
    }
}

BOOST_AUTO_TEST_SUITE_END()
