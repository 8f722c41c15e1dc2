#include <algorithm>
#include <deque>
#include <map>

#include <boost/test/unit_test.hpp>

#include "coordination/ticket_committer.h"
#include "faulty_store.h"

using namespace Lovageloft;

namespace
{

using Fault = FaultyStore::Fault;

Ticket teamTicket(std::int64_t number, std::string_view name, double rate)
{
    Ticket ticket{number, "nino", {}};
    ticket.objects.emplace_back(TeamConfiguration{std::string(name), rate, 100, {}});
    return ticket;
}

HostsConfiguration hostsNamed(const std::vector<std::string> &names)
{
    HostsConfiguration hosts;
    for (const std::string &name : names) {
        hosts.hosts.push_back({name, "127.0.0.1:1", "dc1"});
    }
    return hosts;
}

/// A host that commits tickets, with its own replica.
struct CommittingHost
{
    explicit CommittingHost(Store &store, TicketCommitter::IsInForce isInForce = {})
        : logStore(store, "t/")
        , committer(logStore, log, std::move(isInForce))
    {
    }

    ResultCode commit(const Ticket &ticket, const std::string &nonce)
    {
        Reason reason;
        const auto entry = committer.commit(ticket, 1, nonce, reason);
        return entry.has_value() ? ResultCode::Ok : reason.code;
    }

    ConfigurationLogStore logStore;
    ConfigurationLog log;
    TicketCommitter committer;
};

/// Returns the given faults in order, then none. The first call of a commit is a read.
FaultyStore::ChooseFault faultsInOrder(std::deque<Fault> faults)
{
    return [faults]() mutable {
        if (faults.empty()) {
            return Fault::None;
        }
        const Fault fault = faults.front();
        faults.pop_front();
        return fault;
    };
}

std::int64_t countEntries(FaultyStore &store)
{
    store.setFaults({});
    store.applyPendingWrites();
    return static_cast<std::int64_t>(store.list("t/config/log/").entries.size());
}

/// Several operators and hosts commit on one failing store; all choices are drawn from a seed.
class RaceSimulation
{
public:
    explicit RaceSimulation(unsigned seed)
        : random_(seed)
    {
        for (int i = 0; i < 3; ++i) {
            hosts_.emplace_back(store_);
        }
        store_.setFaults([this] { return drawFault(); });
        store_.setBeforeWrite([this] { maybeInterrupt(); });
    }

    void run()
    {
        for (int i = 0; i < 10; ++i) {
            commitOne();
        }
        store_.setFaults({});
        store_.setBeforeWrite({});
        store_.applyPendingWrites();
        check();
    }

private:
    struct Outcome
    {
        Ticket ticket;
        ResultCode code;
    };

    Fault drawFault()
    {
        if (randomBelow(random_, 8) == 0) {
            store_.applyPendingWrites();
        }
        constexpr Fault faults[] = {Fault::Down, Fault::LostAfterWrite, Fault::LostBeforeWrite, Fault::DelayedWrite};
        return randomBelow(random_, 3) == 0 ? faults[randomBelow(random_, 4)] : Fault::None;
    }

    void maybeInterrupt()
    {
        if (depth_ < 2 && randomBelow(random_, 3) == 0) {
            commitOne();
        }
    }

    void commitOne()
    {
        ++depth_;
        // Each host commits with its own replica; a nested commit uses another host than the commits that it interrupts.
        CommittingHost &host = hosts_[static_cast<std::size_t>(depth_ - 1)];
        const Ticket ticket = teamTicket(1 + static_cast<std::int64_t>(randomBelow(random_, 6)), "desk", static_cast<double>(randomBelow(random_, 2)));
        const std::string nonce = "n" + std::to_string(++nonces_);
        const ResultCode code = host.commit(ticket, nonce);
        outcomes_[nonce] = {ticket, code};
        --depth_;
    }

    void check()
    {
        ConfigurationLog replayed;
        ConfigurationLogStore logStore(store_, "t/");
        BOOST_REQUIRE((logStore.catchUp(replayed) == StoreStatus::Ok));
        const auto entries = logStore.readRange({1, replayed.version()});
        std::map<std::string, std::int64_t> sequenceOf;
        ConfigurationState state;
        Reason reason;
        for (const LogEntry &entry : *entries) {
            sequenceOf[entry.nonce] = entry.sequence;
            BOOST_REQUIRE_MESSAGE(state.apply(entry.ticket, reason), "an entry was committed that is not valid at its position");
        }
        for (const auto &[nonce, outcome] : outcomes_) {
            const bool isInLog = sequenceOf.contains(nonce);
            BOOST_REQUIRE_MESSAGE(outcome.code != ResultCode::Ok || isInLog, "an accepted ticket is not in the log");
            BOOST_REQUIRE_MESSAGE(outcome.code == ResultCode::Ok || outcome.code == ResultCode::StoreAnswerLost || !isInLog, "a refused ticket took effect");
            const Ticket &ticket = outcome.ticket;
            const bool isKnown = std::any_of(entries->begin(), entries->end(), [&ticket](const LogEntry &entry) { return entry.ticket == ticket; });
            BOOST_REQUIRE_MESSAGE(outcome.code != ResultCode::TicketAlreadyAccepted || isKnown, "a ticket was reported as accepted and is not in the log");
        }
        for (CommittingHost &host : hosts_) {
            BOOST_REQUIRE((host.logStore.catchUp(host.log) == StoreStatus::Ok));
            BOOST_REQUIRE_EQUAL(host.log.state().toJson(), state.toJson());
        }
    }

    Random random_;
    FaultyStore store_;
    std::deque<CommittingHost> hosts_;
    std::map<std::string, Outcome> outcomes_;
    int depth_ = 0;
    int nonces_ = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(TicketCommitterTest)

BOOST_AUTO_TEST_CASE(theLoserOfARaceCommitsAfterTheWinner)
{
    FaultyStore store;
    CommittingHost slower(store);
    CommittingHost faster(store);
    bool isFirst = true;
    store.setBeforeWrite([&] {
        if (std::exchange(isFirst, false)) {
            BOOST_TEST((faster.commit(teamTicket(1, "press", 1), "q") == ResultCode::Ok));
        }
    });
    BOOST_TEST((slower.commit(teamTicket(1, "desk", 1), "s") == ResultCode::Ok));
    BOOST_TEST(slower.log.version() == 2);
    BOOST_TEST(slower.log.state().teams().size() == 2);
}

BOOST_AUTO_TEST_CASE(aTicketThatTheWinnerMadeStaleIsRefused)
{
    // Guards against two operators who change one team at the same time, where the lower ticket number reaches the store last. Without
    // another check after the lost race, the team's older rate would be restored.
    FaultyStore store;
    CommittingHost slower(store);
    CommittingHost faster(store);
    bool isFirst = true;
    store.setBeforeWrite([&] {
        if (std::exchange(isFirst, false)) {
            BOOST_TEST((faster.commit(teamTicket(6, "desk", 60), "q") == ResultCode::Ok));
        }
    });
    BOOST_TEST((slower.commit(teamTicket(5, "desk", 50), "s") == ResultCode::TicketStale));
    BOOST_TEST(countEntries(store) == 1);
}

BOOST_AUTO_TEST_CASE(anEndlessRaceIsReported)
{
    FaultyStore store;
    CommittingHost slower(store);
    CommittingHost faster(store);
    std::int64_t number = 0;
    bool isNested = false;
    store.setBeforeWrite([&] {
        if (!std::exchange(isNested, true)) {
            ++number;
            faster.commit(teamTicket(number, "press", 1), "q" + std::to_string(number));
            isNested = false;
        }
    });
    BOOST_TEST((slower.commit(teamTicket(1, "desk", 1), "s") == ResultCode::TicketRaced));
    BOOST_TEST(countEntries(store) == 8);
}

BOOST_AUTO_TEST_CASE(aLostResponseIsResolvedByReadingBack)
{
    // The store commits a ticket and its response is lost, or the write is lost, or the write takes effect later. Without reading back, the
    // operator would be told that a ticket failed which is in force, or it would be committed twice.
    struct Case
    {
        std::deque<Fault> faults;
        ResultCode first;
        ResultCode retried; ///< The result of the same ticket sent again, with a store without faults.
    };

    const std::vector<Case> cases{
        {{Fault::None, Fault::LostAfterWrite}, ResultCode::Ok, ResultCode::TicketAlreadyAccepted},
        {{Fault::None, Fault::LostBeforeWrite}, ResultCode::Ok, ResultCode::TicketAlreadyAccepted},
        {{Fault::None, Fault::DelayedWrite}, ResultCode::Ok, ResultCode::TicketAlreadyAccepted},
        {{Fault::None, Fault::LostAfterWrite, Fault::Down}, ResultCode::StoreAnswerLost, ResultCode::TicketAlreadyAccepted},
        {{Fault::None, Fault::LostBeforeWrite, Fault::Down}, ResultCode::StoreAnswerLost, ResultCode::Ok},
        {{Fault::None, Fault::DelayedWrite, Fault::None, Fault::Down}, ResultCode::StoreAnswerLost, ResultCode::Ok},
        {{Fault::None, Fault::Down}, ResultCode::StoreUnavailable, ResultCode::Ok},
        {{Fault::Down}, ResultCode::StoreUnavailable, ResultCode::Ok},
    };
    for (const Case &row : cases) {
        FaultyStore store;
        CommittingHost host(store);
        host.commit(teamTicket(1, "press", 1), "earlier");
        store.setFaults(faultsInOrder(row.faults));
        BOOST_TEST((host.commit(teamTicket(5, "desk", 50), "first") == row.first));
        store.setFaults({});
        BOOST_TEST((host.commit(teamTicket(5, "desk", 50), "again") == row.retried));
        BOOST_TEST(countEntries(store) == 2);
    }
}

BOOST_AUTO_TEST_CASE(aRepeatedTicketIsReportedAcceptedAfterALaterOne)
{
    // The response to ticket 5 is lost, another operator commits ticket 6, and the first operator sends ticket 5 again. TicketStale would
    // tell that operator that ticket 5 never took effect.
    FaultyStore store;
    CommittingHost host(store);
    BOOST_TEST((host.commit(teamTicket(5, "desk", 50), "a") == ResultCode::Ok));
    BOOST_TEST((host.commit(teamTicket(6, "desk", 60), "b") == ResultCode::Ok));
    BOOST_TEST((host.commit(teamTicket(5, "desk", 50), "c") == ResultCode::TicketAlreadyAccepted));
    BOOST_TEST((host.commit(teamTicket(5, "desk", 51), "d") == ResultCode::TicketStale));
}

BOOST_AUTO_TEST_CASE(aSecondChangeOfHostsWaitsForTheFirst)
{
    // Guards against two operators who each add a host within a second. A host that has received neither change counts a majority of a list
    // that is two changes old, which need not have a host in common with the new majority.
    FaultyStore store;
    std::int64_t inForce = 0;
    CommittingHost host(store, [&](std::int64_t sequence) { return sequence <= inForce; });
    BOOST_TEST((host.commit({1, "nino", {hostsNamed({"a", "b", "c"})}}, "1") == ResultCode::Ok));
    BOOST_TEST((host.commit({2, "nino", {hostsNamed({"a", "b", "c", "d"})}}, "2") == ResultCode::TicketRaced));
    BOOST_TEST((host.commit(teamTicket(2, "desk", 1), "3") == ResultCode::Ok));
    inForce = 1;
    BOOST_TEST((host.commit({2, "nino", {hostsNamed({"a", "b", "c", "d"})}}, "4") == ResultCode::Ok));
}

BOOST_AUTO_TEST_CASE(anUpToDateReplicaNeedsOneReadPerConfirmation)
{
    FaultyStore store;
    CommittingHost host(store);
    host.commit(teamTicket(1, "desk", 1), "a");
    const std::size_t before = store.readCount();
    BOOST_TEST((host.logStore.catchUp(host.log) == StoreStatus::Ok));
    BOOST_TEST(store.readCount() - before == 1);
}

BOOST_AUTO_TEST_CASE(acceptedTicketsNeverRevertWhateverTheStoreLoses)
{
    // Operators at several hosts race while the store goes down, loses responses and applies writes late. A ticket reported as accepted
    // must stay in the log, a refused one must not be in it, and all hosts must agree.
    for (unsigned seed = 0; seed < 4'000; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            RaceSimulation(seed).run();
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
