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
    /// Keeps the window full for `rounds` rounds in which each first token takes `firstToken`.
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
    // An engine is throttled or shares its accelerator. With its old window requests would pile up in it; users whose request
    // went there would see their first token ten times later although other engines have room.
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
    // The slow engine is well again after the weekend. A window that grew by one a round would hold Monday's burst back.
    play(4, second / 20);
    play(8, second / 2);
    now += std::chrono::hours(60);
    play(5, second / 20);
    BOOST_TEST(window.size() >= 20U);
}

BOOST_AUTO_TEST_CASE(failuresShrinkItButNeverBelowOne)
{
    // An engine refuses all it gets. A window of 0 would never find out that it is well again.
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
    // An engine crashes with requests in flight and comes back empty. Late ends of the old requests would make room that
    // isn't there, or the count would never come down again and the engine get no work.
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
    // Four chapters sent at once would keep an engine busy for half a minute, and a short question behind them with it.
    EngineWindow::Dispatch chapter = window.start(60'000, now);
    BOOST_TEST(!window.canStart(60'000));
    BOOST_TEST(!window.canStart(tokens));
    window.onFirstToken(chapter, now + 6 * second);
    BOOST_TEST(window.canStart(tokens));
}

BOOST_AUTO_TEST_SUITE_END()
