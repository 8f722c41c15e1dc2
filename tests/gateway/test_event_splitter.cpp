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

BOOST_AUTO_TEST_SUITE_END()
