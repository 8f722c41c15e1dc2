#include <string>
#include <string_view>

#include <boost/test/unit_test.hpp>

#include "gateway/event_splitter.h"

using namespace Lovageloft;

BOOST_AUTO_TEST_SUITE(EventSplitterTest)

BOOST_AUTO_TEST_CASE(onlyWholeEventsAreReturnedForAnyPieceSize)
{
    // An engine fails in the middle of an event, and another engine continues with the next whole event. If the partial event had been
    // passed on, it would be joined to the next one, and the caller would read an event that neither engine sent.
    const std::string text = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid:3\ndata: c\n\n";
    for (std::size_t pieceSize = 1; pieceSize <= text.size(); ++pieceSize) {
        EventSplitter splitter;
        std::string out;
        for (std::size_t offset = 0; offset < text.size(); offset += pieceSize) {
            const std::string_view events = splitter.push(std::string_view(text).substr(offset, pieceSize));
            BOOST_TEST((events.empty() || events.ends_with("\n\n") || events.ends_with("\r\n\r\n")));
            out.append(events);
        }
        BOOST_TEST(out == text);
        BOOST_TEST(splitter.lastId() == "3");
        BOOST_TEST(!splitter.hasPartial());
    }
}

BOOST_AUTO_TEST_CASE(aPartialEventIsDroppedAndItsIdIgnored)
{
    EventSplitter splitter;
    BOOST_TEST(splitter.push("id: 7\ndata: x\n\nid: 8\ndata: brok") == "id: 7\ndata: x\n\n");
    BOOST_TEST(splitter.hasPartial());
    BOOST_TEST(splitter.lastId() == "7");
    splitter.dropPartial();
    BOOST_TEST(splitter.push("id: 8\ndata: whole\n\n") == "id: 8\ndata: whole\n\n");
    BOOST_TEST(splitter.lastId() == "8");
}

BOOST_AUTO_TEST_CASE(anEventThatNeverEndsIsNotBuffered)
{
    // Guards against a target that writes an event without end, which would fill the host's memory until the deadline.
    EventSplitter splitter;
    splitter.push("id: 1\ndata: a\n\n");
    const std::string piece(1'000, 'x');
    std::size_t pushed = 0;
    while (!splitter.isOverlong() && pushed < 10'000'000) {
        splitter.push(piece);
        pushed += piece.size();
    }
    BOOST_TEST(splitter.isOverlong());
    BOOST_TEST(pushed <= 300'000U);
    splitter.dropPartial();
    BOOST_TEST(!splitter.isOverlong());
    BOOST_TEST(splitter.lastId() == "1");
}

BOOST_AUTO_TEST_CASE(aLongEventThatIsWholeIsReturned)
{
    EventSplitter splitter;
    const std::string event = "id: 1\ndata: " + std::string(200'000, 'x') + "\n\n";
    std::size_t returned = 0;
    for (std::size_t offset = 0; offset < event.size(); offset += 1'000) {
        returned += splitter.push(std::string_view(event).substr(offset, 1'000)).size();
        BOOST_TEST(!splitter.isOverlong());
    }
    BOOST_TEST(returned == event.size());
}

BOOST_AUTO_TEST_SUITE_END()
