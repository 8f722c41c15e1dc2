#include <boost/test/unit_test.hpp>

#include "gateway/event_splitter.h"

using namespace Lovageloft;

BOOST_AUTO_TEST_SUITE(EventSplitterTest)

BOOST_AUTO_TEST_CASE(onlyWholeEventsAreHandedOutWhateverThePieces)
{
    // An engine stops in the middle of an event and another one goes on with the next whole one. Half an event passed on would be
    // joined to the other engine's, and the caller would read a piece that neither engine made.
    const std::string text = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid:3\ndata: c\n\n";
    for (std::size_t piece = 1; piece <= text.size(); ++piece) {
        EventSplitter splitter;
        std::string out;
        for (std::size_t at = 0; at < text.size(); at += piece) {
            const std::string_view events = splitter.push(std::string_view(text).substr(at, piece));
            BOOST_TEST((events.empty() || events.ends_with("\n\n") || events.ends_with("\r\n\r\n")));
            out.append(events);
        }
        BOOST_TEST(out == text);
        BOOST_TEST(splitter.lastId() == "3");
        BOOST_TEST(!splitter.hasPartial());
    }
}

BOOST_AUTO_TEST_CASE(aPartialEventIsDroppedAndItsIdDoesNotCount)
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
