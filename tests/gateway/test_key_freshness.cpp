#include <map>
#include <memory>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "coordination/memory_store.h"
#include "core/random.h"
#include "gateway/proof_duty.h"
#include "gateway/relayed_store.h"

using namespace Lovageloft;
using namespace std::chrono_literals;

namespace
{

constexpr std::string_view configurationKeyName = "op/config";

/// A configuration is its number; the number of keys tells nothing here.
class NumberRecords final : public StoreRecords
{
public:
    std::string_view operatorPrefix() const override
    {
        return "op/";
    }

    std::string_view configurationKey() const override
    {
        return configurationKeyName;
    }

    bool isWeightsKey(std::string_view /*key*/) const override
    {
        return false;
    }

    std::string_view targetPrefix() const override
    {
        return "t/";
    }

    std::optional<RoutingTable> parseConfiguration(const StoreEntry &entry, Reason &reason) const override
    {
        if (entry.value == "unreadable") {
            reason.text = "unreadable";
            return std::nullopt;
        }
        RoutingTable table;
        table.revision = entry.revision;
        return table;
    }

    std::optional<Target> parseTarget(const StoreEntry & /*entry*/, Reason & /*reason*/) const override
    {
        return std::nullopt;
    }

    std::optional<PublishedWeights> parseWeights(const StoreEntry & /*entry*/, Reason & /*reason*/) const override
    {
        return std::nullopt;
    }
};

/// Hosts that prove their configuration while operators write new ones, in virtual time. Each call to the store and each message takes
/// random time, in which operators may write and the caller be paused; the store may be away, and a cut host can't reach it.
class Fleet
{
public:
    explicit Fleet(std::uint64_t seed)
        : random_(seed)
    {
        write("first");
        const std::vector<std::string> names{"a", "b", "c", "d", "e"};
        for (const std::string &name : names) {
            hosts_[name] = std::make_unique<Host>(*this, name);
        }
        for (auto &[name, host] : hosts_) {
            host->relayed.setNetwork({{}, [this, name = name](const std::string &to, const ProofRequest &request) { ask(name, to, request); }});
            host->relayed.setHosts(names, names);
        }
    }

    void step()
    {
        advance(1'000);
        const std::size_t dice = randomBelow(random_, 12);
        if (dice == 0) {
            isAway_ = !isAway_;
        } else if (dice == 1) {
            auto &host = anyHost();
            host.isCut = !host.isCut;
        } else if (dice == 2) {
            write(randomBelow(random_, 10) == 0 ? "unreadable" : "next");
        } else {
            Host &host = anyHost();
            host.duty.prove();
            check(host);
        }
    }

    /// Times that a host took a configuration for the newest that was not.
    int wrongProofs = 0;
    int proofs = 0;

private:
    /// The store as one host reaches it.
    class Door final : public MemoryStore
    {
    public:
        Door(Fleet &fleet, const bool &isCut)
            : MemoryStore([&fleet] { return fleet.now_; })
            , fleet_(fleet)
            , isCut_(isCut)
        {
        }

        StoreReply get(std::string_view key) override
        {
            fleet_.advance(300);
            StoreReply reply = isCut_ || fleet_.isAway_ ? StoreReply{} : fleet_.store_.get(key);
            fleet_.advance(300); // The answer is on its way while operators go on.
            return reply;
        }

    private:
        Fleet &fleet_;
        const bool &isCut_;
    };

    struct Host
    {
        Host(Fleet &fleet, const std::string &name)
            : door(fleet, isCut)
            , relayed(door, name, [&fleet] { return fleet.now_; })
            , feed(fleet.records_,
                   {[this](const auto &table, TimePoint at) { note(table->revision, at); },
                    [this](std::int64_t revision, TimePoint at) { note(revision, at); },
                    {}})
            , duty(relayed, fleet.records_, feed, 2s, [&fleet] { return fleet.now_; })
        {
            feed.apply(fleet.store_.get(configurationKeyName).entry, fleet.now_);
        }

        void note(std::int64_t newest, TimePoint at)
        {
            if (newest >= revision) {
                provenAt = newest > revision ? at : std::max(provenAt, at);
                revision = newest;
            }
        }

        bool isCut = false;
        std::int64_t revision = 0;
        TimePoint provenAt;
        Door door;
        RelayedStore relayed;
        ConfigurationFeed feed;
        ProofDuty duty;
    };

    Host &anyHost()
    {
        auto found = hosts_.begin();
        std::advance(found, static_cast<std::ptrdiff_t>(randomBelow(random_, hosts_.size())));
        return *found->second;
    }

    void write(const std::string &value)
    {
        const StoreReply known = store_.get(configurationKeyName);
        const std::int64_t expected = known.status == StoreStatus::Ok ? known.entry.revision : 0;
        writes_.emplace_back(now_, store_.compareAndSwap(configurationKeyName, expected, value, 0).entry.revision);
    }

    /// Time goes on by up to so many milliseconds, rarely by seconds, and operators may write meanwhile.
    void advance(std::size_t most)
    {
        now_ += std::chrono::milliseconds(randomBelow(random_, randomBelow(random_, 20) == 0 ? 8'000 : most));
        if (randomBelow(random_, 8) == 0) {
            write("next");
            now_ += 1ms;
        }
    }

    /// A relay's answer. A lost message is one that says nothing, so that nobody waits in real time.
    void ask(const std::string &from, const std::string &to, const ProofRequest &request)
    {
        advance(100);
        const Host &relay = *hosts_.at(to);
        ProofReply reply{request.id, relay.revision, now_ - relay.provenAt};
        if (randomBelow(random_, 4) == 0) {
            reply = {request.id, 0, 1h};
        }
        advance(100);
        hosts_.at(from)->relayed.onProofReply(reply);
    }

    void check(const Host &host)
    {
        ++proofs;
        for (const auto &[time, revision] : writes_) {
            if (time < host.provenAt && revision > host.revision) {
                ++wrongProofs;
                return;
            }
        }
    }

    Random random_;
    TimePoint now_{1h};
    MemoryStore store_{[this] { return now_; }};
    NumberRecords records_;
    std::vector<std::pair<TimePoint, std::int64_t>> writes_;
    std::map<std::string, std::unique_ptr<Host>> hosts_;
    bool isAway_ = false;
};

} // namespace

BOOST_AUTO_TEST_SUITE(KeyFreshnessTest)

BOOST_AUTO_TEST_CASE(noHostTakesAConfigurationForNewerThanItWas)
{
    // Keys are withdrawn while hosts are paused, cut off, or get old answers from relays, and while the store is away. A host that dated its
    // proof by the time of an answer, or by that of a relay's message, would honour a withdrawn key for as long as the answer was late.
    int proofs = 0;
    for (std::uint64_t seed = 0; seed < 3'000; ++seed) {
        Fleet fleet(seed);
        for (int step = 0; step < 60; ++step) {
            fleet.step();
        }
        proofs += fleet.proofs;
        BOOST_REQUIRE_MESSAGE(fleet.wrongProofs == 0, "seed " << seed << ": " << fleet.wrongProofs << " wrong proofs");
    }
    BOOST_TEST(proofs > 100'000);
}

BOOST_AUTO_TEST_SUITE_END()
