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

/// Parses configurations of which only the store revision matters.
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

    std::string_view rolloutPrefix() const override
    {
        return "op/rollout/";
    }

    std::optional<RolloutOrder> parseRollout(const StoreEntry & /*entry*/, Reason & /*reason*/) const override
    {
        return std::nullopt;
    }

    std::string rolloutStatusKey(std::string_view service) const override
    {
        return "status/rollout/" + std::string(service);
    }

    std::string rolloutStatusText(const RolloutRecord &record) const override
    {
        return std::string(rolloutPhaseName(record.phase)) + ' ' + record.version;
    }
};

/// Simulates in virtual time hosts that prove their configuration while operators write new ones. Each call to the store and each message
/// takes a random time, during which operators may write and the caller may be paused. The store may be down, and a host that is cut off
/// can't reach it.
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
            host->relayed.setNetwork({{}, [this, name = name](const std::string &to, const ProofRequest &request) { askRelay(name, to, request); }});
            host->relayed.setHosts(names, names);
        }
    }

    void step()
    {
        advance(1'000);
        const std::size_t dice = randomBelow(random_, 12);
        if (dice == 0) {
            isStoreDown_ = !isStoreDown_;
        } else if (dice == 1) {
            auto &host = randomHost();
            host.isCut = !host.isCut;
        } else if (dice == 2) {
            write(randomBelow(random_, 10) == 0 ? "unreadable" : "next");
        } else {
            Host &host = randomHost();
            host.duty.prove();
            check(host);
        }
    }

    /// Number of times that a host dated a proof after the write of a newer configuration.
    int wrongProofs = 0;
    int proofs = 0;

private:
    /// The store as seen by one host.
    class HostStore final : public MemoryStore
    {
    public:
        HostStore(Fleet &fleet, const bool &isCut)
            : MemoryStore([&fleet] { return fleet.now_; })
            , fleet_(fleet)
            , isCut_(isCut)
        {
        }

        StoreReply get(std::string_view key) override
        {
            fleet_.advance(300);
            StoreReply reply = isCut_ || fleet_.isStoreDown_ ? StoreReply{} : fleet_.store_.get(key);
            fleet_.advance(300); // Operators may write while the response is in flight.
            return reply;
        }

    private:
        Fleet &fleet_;
        const bool &isCut_;
    };

    struct Host
    {
        Host(Fleet &fleet, const std::string &name)
            : hostStore(fleet, isCut)
            , relayed(hostStore, name, [&fleet] { return fleet.now_; })
            , feed(fleet.records_,
                   {[this](const auto &table, TimePoint at) { recordProof(table->revision, at); },
                    [this](std::int64_t revision, TimePoint at) { recordProof(revision, at); },
                    {}})
            , duty(relayed, fleet.records_, feed, 2s, [&fleet] { return fleet.now_; })
        {
            feed.apply(fleet.store_.get(configurationKeyName).entry, fleet.now_);
        }

        void recordProof(std::int64_t newest, TimePoint at)
        {
            if (newest >= revision) {
                provenAt = newest > revision ? at : std::max(provenAt, at);
                revision = newest;
            }
        }

        bool isCut = false;
        std::int64_t revision = 0;
        TimePoint provenAt;
        HostStore hostStore;
        RelayedStore relayed;
        ConfigurationFeed feed;
        ProofDuty duty;
    };

    Host &randomHost()
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

    /// Advances the time by less than `maxMilliseconds`, or rarely by up to 8 s; operators may write afterwards.
    void advance(std::size_t maxMilliseconds)
    {
        now_ += std::chrono::milliseconds(randomBelow(random_, randomBelow(random_, 20) == 0 ? 8'000 : maxMilliseconds));
        if (randomBelow(random_, 8) == 0) {
            write("next");
            now_ += 1ms;
        }
    }

    /// Delivers a reply of a relay. A lost message is simulated by a reply without information, so that no host waits in real time.
    void askRelay(const std::string &from, const std::string &to, const ProofRequest &request)
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
    bool isStoreDown_ = false;
};

} // namespace

BOOST_AUTO_TEST_SUITE(KeyFreshnessTest)

BOOST_AUTO_TEST_CASE(noHostDatesAConfigurationProofTooLate)
{
    // Keys are revoked while hosts are paused, cut off or get old replies from relays, and while the store is down. A host that dated its
    // proof by the arrival of a response or of a relay's message would accept a revoked key for as long as that was delayed.
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
