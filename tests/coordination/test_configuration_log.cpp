#include <algorithm>
#include <utility>

#include <boost/test/unit_test.hpp>

#include "coordination/configuration_audit.h"
#include "coordination/configuration_log.h"
#include "coordination/configuration_log_store.h"
#include "coordination/memory_store.h"
#include "core/random.h"

using namespace Lovageloft;

namespace
{

LogEntry makeEntry(std::int64_t sequence, std::int64_t ticket, double rate)
{
    LogEntry entry{sequence, "n" + std::to_string(sequence), 1'700'000'000'000 + sequence, {{"team/desk", "", "d"}}, {ticket, "nino", {}}};
    entry.ticket.objects.emplace_back(TeamConfiguration{"desk", rate, 100, {}});
    return entry;
}

HostsConfiguration hostsNamed(const std::vector<std::string> &names)
{
    HostsConfiguration hosts;
    for (const std::string &name : names) {
        hosts.hosts.push_back({name, "127.0.0.1:1", "dc1"});
    }
    return hosts;
}

void fill(ConfigurationLogStore &logStore, std::int64_t count)
{
    for (std::int64_t sequence = 1; sequence <= count; ++sequence) {
        BOOST_REQUIRE((logStore.create(makeEntry(sequence, sequence, static_cast<double>(sequence))).status == StoreStatus::Ok));
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(ConfigurationLogTest)

BOOST_AUTO_TEST_CASE(anEntryRoundTripsThroughJson)
{
    LogEntry entry = makeEntry(7, 3, 0.1);
    entry.ticket.operatorName = "a.b";
    Reason reason;
    const auto parsed = parseLogEntry(formatLogEntry(entry), reason);
    BOOST_REQUIRE_MESSAGE(parsed.has_value(), reason.text);
    BOOST_TEST((*parsed == entry));
    for (const char *text : {"", "{", "[]", "{}", R"({"sequence":"x"})", R"({"sequence":1,"nonce":"n","committed_at":1,"changes":[],"ticket":{}})"}) {
        BOOST_TEST(!parseLogEntry(text, reason).has_value());
    }
}

BOOST_AUTO_TEST_CASE(anyOrderOfDeliveryGivesTheSameState)
{
    // Entries reach a host from the store's watch and from several peers: duplicated, late and out of order. A host that applied them in
    // order of arrival would serve another rate than the other hosts.
    constexpr std::int64_t count = 30;
    std::vector<LogEntry> entries;
    ConfigurationLog inOrder;
    for (std::int64_t sequence = 1; sequence <= count; ++sequence) {
        entries.push_back(makeEntry(sequence, sequence % 3 == 0 ? 1 : sequence, static_cast<double>(sequence)));
        inOrder.add(entries.back());
    }
    for (unsigned seed = 0; seed < 500; ++seed) {
        Random random(seed);
        std::vector<LogEntry> delivered = entries;
        delivered.insert(delivered.end(), entries.begin(), entries.begin() + static_cast<std::ptrdiff_t>(randomBelow(random, count)));
        for (std::size_t i = delivered.size() - 1; i > 0; --i) {
            std::swap(delivered[i], delivered[randomBelow(random, i + 1)]);
        }
        ConfigurationLog log;
        for (const LogEntry &entry : delivered) {
            log.add(entry);
        }
        BOOST_REQUIRE_EQUAL(log.version(), count);
        BOOST_REQUIRE_EQUAL(log.state().toJson(), inOrder.state().toJson());
    }
}

BOOST_AUTO_TEST_CASE(pendingEntriesAreBoundedAndMissingOnesRequested)
{
    // Guards against a peer that is far ahead and sends many entries to a host that lacks one. Without a limit the host's memory would grow
    // until the process is killed.
    ConfigurationLog log;
    BOOST_TEST((log.add(makeEntry(1, 1, 1)) == AddOutcome::Applied));
    for (std::int64_t sequence = 5'000; sequence > 4; --sequence) {
        log.add(makeEntry(sequence, sequence, 1));
    }
    BOOST_TEST((log.missingRange() == SequenceRange{2, 4}));
    BOOST_TEST((log.add(makeEntry(5'000, 5'000, 1)) == AddOutcome::Dropped));
    for (std::int64_t sequence = 2; sequence <= 4; ++sequence) {
        log.add(makeEntry(sequence, sequence, 1));
    }
    BOOST_TEST(log.version() == 260);
    BOOST_TEST(!log.missingRange().has_value());
    const auto entries = log.entriesAfter(250, 100);
    BOOST_REQUIRE(entries.has_value());
    BOOST_TEST(entries->size() == 10);
}

BOOST_AUTO_TEST_CASE(anInvalidEntryIsSkippedEverywhere)
{
    MemoryStore store;
    ConfigurationLogStore logStore(store, "t/");
    logStore.create(makeEntry(1, 9, 1));
    logStore.create(makeEntry(2, 3, 2)); // Its ticket is stale at this point of the log.
    store.compareAndSwap(logStore.entryKey(3), 0, "damaged", 0);
    logStore.create(makeEntry(4, 10, 4));
    ConfigurationLog log;
    BOOST_TEST((logStore.catchUp(log) == StoreStatus::Ok));
    BOOST_TEST(log.version() == 4);
    BOOST_TEST(log.state().teams().at("desk").rate == 4);
    BOOST_TEST(log.findTicket(makeEntry(2, 3, 2).ticket) == nullptr);
}

BOOST_AUTO_TEST_CASE(aStartFromASnapshotNeedsNoOldEntries)
{
    MemoryStore store;
    ConfigurationLogStore logStore(store, "t/");
    fill(logStore, 250);
    ConfigurationLog first;
    BOOST_TEST((logStore.catchUp(first) == StoreStatus::Ok));
    BOOST_TEST(first.version() == 250);
    BOOST_TEST(logStore.writeSnapshotIfDue(first));
    BOOST_TEST(!logStore.writeSnapshotIfDue(first));
    for (const StoreEntry &entry : store.list(logStore.logPrefix()).entries) {
        store.compareAndDelete(entry.key, entry.revision);
    }
    logStore.create(makeEntry(251, 251, 251));
    ConfigurationLog second;
    BOOST_TEST((ConfigurationLogStore(store, "t/").catchUp(second) == StoreStatus::Ok));
    BOOST_TEST(second.version() == 251);
    BOOST_TEST(second.state().teams().at("desk").rate == 251);
}

BOOST_AUTO_TEST_CASE(aDamagedSnapshotIsIgnored)
{
    // Guards against a host that crashes between two parts of a snapshot, and against an operator's tool that damages one. A host that used
    // it would start with half of the teams; instead the whole log is replayed.
    MemoryStore store;
    ConfigurationLogStore logStore(store, "t/");
    fill(logStore, 120);
    ConfigurationLog first;
    logStore.catchUp(first);
    BOOST_TEST(logStore.writeSnapshotIfDue(first));
    const StoreEntry part = store.list("t/config/snapshot-parts/").entries.at(0);
    std::string damaged = part.value;
    damaged.replace(damaged.find("\"rate\":120"), 10, "\"rate\":121");
    store.compareAndSwap(part.key, part.revision, damaged, 0);
    ConfigurationLog second;
    BOOST_TEST((logStore.catchUp(second) == StoreStatus::Ok));
    BOOST_TEST(second.state().toJson() == first.state().toJson());
    store.compareAndDelete(part.key, store.get(part.key).entry.revision);
    ConfigurationLog third;
    BOOST_TEST((logStore.catchUp(third) == StoreStatus::Ok));
    BOOST_TEST(third.state().toJson() == first.state().toJson());
    for (const StoreEntry &entry : store.list(logStore.logPrefix()).entries) {
        store.compareAndDelete(entry.key, entry.revision);
    }
    ConfigurationLog fourth;
    BOOST_TEST((logStore.catchUp(fourth) == StoreStatus::Unavailable)); // An empty state must never count as confirmed.
}

BOOST_AUTO_TEST_CASE(aSnapshotLongerThanAValueIsSplit)
{
    MemoryStore store;
    ConfigurationLogStore logStore(store, "t/");
    ConfigurationLog log;
    for (std::int64_t sequence = 1; sequence <= 100; ++sequence) {
        LogEntry entry = makeEntry(sequence, sequence, 1);
        TeamConfiguration team{"t" + std::to_string(sequence), 1, 1, {}};
        team.keys.assign(100, KeyDigest{"k", std::string(32, 'a'), std::string(64, 'b')});
        entry.ticket.objects = {team};
        log.add(entry);
    }
    BOOST_TEST(logStore.writeSnapshotIfDue(log));
    std::size_t longest = 0;
    for (const StoreEntry &part : store.list("t/").entries) {
        longest = std::max(longest, part.value.size());
    }
    BOOST_TEST(longest <= maxEntrySize);
    ConfigurationLog other;
    BOOST_TEST((logStore.catchUp(other) == StoreStatus::Ok));
    BOOST_TEST(other.state().toJson() == log.state().toJson());
}

BOOST_AUTO_TEST_CASE(theListOfHostsChangesByOneHost)
{
    // Guards against a ticket that replaces two hosts. A majority of the old list and one of the new list need not have a host in common,
    // so a host that is cut off could find a majority that holds nothing newer than itself and accept a withdrawn key.
    const std::vector<std::pair<std::vector<std::string>, bool>> cases{
        {{"a", "b", "c"}, true},
        {{"a", "b", "c", "d"}, true},
        {{"a", "b"}, true},
        {{"a"}, false},
        {{}, false},
        {{"a", "b", "d"}, false},
        {{"a", "b", "c", "c"}, false},
    };
    for (const auto &[names, isAllowed] : cases) {
        ConfigurationState state;
        Reason reason;
        BOOST_REQUIRE(state.apply({1, "nino", {hostsNamed({"a", "b", "c"})}}, reason));
        BOOST_TEST(state.apply({2, "nino", {hostsNamed(names)}}, reason) == isAllowed);
    }
}

BOOST_AUTO_TEST_CASE(theReplicaKnowsThePreviousHosts)
{
    ConfigurationLog log;
    LogEntry entry = makeEntry(1, 1, 1);
    entry.ticket.objects = {hostsNamed({"a", "b", "c"})};
    log.add(entry);
    entry.sequence = 2;
    entry.ticket = {2, "nino", {hostsNamed({"a", "b"})}};
    log.add(entry);
    Reason reason;
    const auto snapshot = parseSnapshot(formatSnapshot(log.snapshot()), reason);
    BOOST_REQUIRE_MESSAGE(snapshot.has_value(), reason.text);
    ConfigurationLog other;
    BOOST_TEST(other.restore(*snapshot));
    BOOST_TEST(!other.restore(*snapshot));
    BOOST_TEST(other.hostsSequence() == 2);
    BOOST_TEST((other.previousHosts() == std::vector<std::string>{"a", "b", "c"}));
    BOOST_TEST((other.hostNames() == std::vector<std::string>{"a", "b"}));
}

BOOST_AUTO_TEST_CASE(theAuditShowsWhoChangedWhat)
{
    MemoryStore store;
    ConfigurationLogStore logStore(store, "t/");
    fill(logStore, 130);
    Reason reason;
    const auto lines = readAudit(logStore, {95, 105}, reason);
    BOOST_REQUIRE(lines.has_value());
    BOOST_TEST(lines->size() == 11);
    const AuditLine &line = lines->front();
    BOOST_TEST(line.sequence == 95);
    BOOST_TEST(line.ticket == 95);
    BOOST_TEST(line.operatorName == "nino");
    BOOST_TEST(line.committedAt == 1'700'000'000'095);
    BOOST_TEST(line.change.object == "team/desk");
}

BOOST_AUTO_TEST_SUITE_END()
