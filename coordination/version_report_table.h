#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "coordination/freshness_gate.h"
#include "coordination/host_lists.h"

namespace Lovageloft
{

/// What one host knows of all hosts' vouches, in one byte a host: the answer to another host's question.
struct VersionReportDigest
{
    PeerVersionReport own; ///< The answering host itself.
    std::int64_t listVersion = 0; ///< The entry that made the list of hosts to which `ages` refers.
    std::int64_t greatestVersion = 0; ///< No host in `ages` held a newer entry when it vouched.
    std::vector<std::uint8_t> ages; ///< By place in the sorted list: how old the vouch is, in VersionReportTable::ageUnit; 255: none.
};

/// Gathers the majority's vouches with few messages: each host asks a few hosts a second at random, and each answer relays what the
/// other gathered. Asking all of 370 hosts every second takes 740 messages a second and host; this takes some ten of 400 to 500 bytes.
///
/// A relayed vouch stays sound because only answers to questions carry it, never unasked messages: the asker subtracts the age from the
/// time at which its own question was SENT. The answer was put together later than that, and the vouch was at most `age` old then, so
/// the host did say so after that time, however long the answer was underway, and no two clocks are compared. Versions are rounded up and ages too: a vouch
/// may count for less than it is worth, never for more. Not thread-safe.
class VersionReportTable
{
public:
    /// Ages are counted in these steps, rounded up at each relay; 254 of them, about 4 s, cover the freshness window.
    static constexpr Duration ageUnit = std::chrono::milliseconds(16);

    /// The hosts of the list that the entry `listVersion` made. Vouches gathered under another list are dropped.
    void setHosts(std::int64_t listVersion, std::vector<std::string> hosts);

    /// The answer to a question that came in at `now`.
    VersionReportDigest digest(const PeerVersionReport &own, TimePoint now) const;

    /// Takes in the answer to a question sent at `askedAt`, and returns the vouches to hand to the gate.
    std::vector<FreshnessGate::TimedVersionReport> onDigest(const VersionReportDigest &digest, TimePoint askedAt);

private:
    struct Row
    {
        std::int64_t version = 0; ///< An upper bound.
        TimePoint trueAt = TimePoint::min(); ///< The vouch was given no earlier than this.
    };

    void improve(std::size_t place, std::int64_t version, TimePoint trueAt, std::vector<FreshnessGate::TimedVersionReport> &improved);

    std::int64_t listVersion_ = 0;
    std::vector<std::string> hosts_; ///< Sorted.
    std::vector<Row> rows_;
};

} // namespace Lovageloft
