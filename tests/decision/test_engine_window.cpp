#include <vector>

#include <boost/test/unit_test.hpp>

#include "decision/engine_window.h"

using namespace Lovageloft;

namespace
{

constexpr Duration second = std::chrono::seconds(1);
constexpr std::int64_t tokens = 200;

struct Fixture
{
    /// Fills the window in each of `rounds` rounds, in which each first token takes `firstToken`.
    void play(int rounds, Duration firstToken)
    {
        for (int round = 0; round < rounds; ++round) {
            std::vector<EngineWindow::Dispatch> sent;
            while (window.canStart(tokens)) {
                sent.push_back(window.start(tokens, now));
            }
            now += firstToken;
            for (EngineWindow::Dispatch &dispatch : sent) {
                window.onFirstToken(dispatch, now);
            }
            for (EngineWindow::Dispatch &dispatch : sent) {
                window.onFinished(dispatch, now);
            }
        }
    }

    EngineWindow window;
    TimePoint now{std::chrono::hours(1)};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(EngineWindowTest, Fixture)

BOOST_AUTO_TEST_CASE(anEngineAtATenthOfItsSpeedGetsOneAtATime)
{
    // An engine is throttled or shares its accelerator. If its window stayed the same, requests would queue inside it and get
    // their first token ten times later, although other engines have room.
    play(4, second / 20);
    const std::size_t before = window.size();
    play(8, second / 2);
    BOOST_TEST(before >= 20U);
    BOOST_TEST(window.size() == 1U);
    play(100, second / 2);
    BOOST_TEST(window.size() == 1U);
}

BOOST_AUTO_TEST_CASE(itRecoversQuicklyAfterAPause)
{
    // A slow engine has recovered while it was idle. A window that grows by one per round would delay the next burst.
    play(4, second / 20);
    play(8, second / 2);
    now += std::chrono::hours(60);
    play(5, second / 20);
    BOOST_TEST(window.size() >= 20U);
}

BOOST_AUTO_TEST_CASE(failuresShrinkItButNeverBelowOne)
{
    // An engine fails all requests. With a window of 0 its recovery would never be detected.
    for (int failure = 0; failure < 20; ++failure) {
        now += second;
        EngineWindow::Dispatch dispatch = window.start(tokens, now);
        window.onFailed(dispatch, now);
        window.onFinished(dispatch, now);
    }
    BOOST_TEST(window.size() == 1U);
    BOOST_TEST(window.canStart(60'000));
}

BOOST_AUTO_TEST_CASE(answersFromBeforeACrashCountForNothing)
{
    // An engine crashes with requests in flight and restarts. If the ends of the old requests were counted, the window would allow
    // too many requests; if the old requests stayed counted, the engine would get no more requests.
    play(3, second / 20);
    EngineWindow::Dispatch old = window.start(tokens, now);
    window.reset();
    BOOST_TEST(window.inFlight() == 0U);
    EngineWindow::Dispatch fresh = window.start(tokens, now);
    window.onFirstToken(old, now + 60 * second);
    window.onFinished(old, now + 60 * second);
    BOOST_TEST(window.inFlight() == 1U);
    window.onFinished(fresh, now + 60 * second);
    BOOST_TEST(window.inFlight() == 0U);
}

BOOST_AUTO_TEST_CASE(longPromptsAreNotSentBehindOneAnother)
{
    // Four long prompts sent at once would keep an engine busy for half a minute and delay a short prompt behind them.
    EngineWindow::Dispatch chapter = window.start(60'000, now);
    BOOST_TEST(!window.canStart(60'000));
    BOOST_TEST(!window.canStart(tokens));
    window.onFirstToken(chapter, now + 6 * second);
    BOOST_TEST(window.canStart(tokens));
}

BOOST_AUTO_TEST_SUITE_END()
