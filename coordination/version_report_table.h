#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "coordination/freshness_gate.h"
#include "coordination/host_lists.h"

namespace Lovageloft
{

/// The version reports of all hosts as known to one host, in one byte per host; the answer to another host's question.
struct VersionReportDigest
{
    PeerVersionReport own; ///< The answering host's own report.
    std::int64_t listVersion = 0; ///< Sequence of the entry that created the host list to which `ages` refers.
    std::int64_t maxVersion = 0; ///< No host in `ages` held a newer entry when it made its report.
    std::vector<std::uint8_t> ages; ///< By index in the sorted list: age of the report in units of VersionReportTable::ageUnit; 255: none.
};

/// Collects the version reports of a majority with few messages: each host asks a few random hosts a second, and each answer relays the
/// reports that the answering host has collected. Asking all of 370 hosts every second takes 740 messages a second per host; this takes
/// about ten, of 400 to 500 bytes each.
///
/// A relayed report remains valid because it travels only in answers, never in unsolicited messages: the asking host subtracts the age from
/// the time at which it SENT its question. The answer was created later than that, and the report was at most `age` old by then. So the host
/// made its report after the resulting time, however long the answer took, and clocks of different hosts are never compared. Versions and
/// ages are both rounded up, so that a report may count for less than it is worth, never for more: with a version that is too high it counts
/// only once the asking host itself holds that version, and with an age that is too high it expires sooner. Not thread-safe.
class VersionReportTable
{
public:
    /// Unit of ages, which are rounded up at each relay; 254 units, about 4 s, cover the freshness window.
    static constexpr Duration ageUnit = std::chrono::milliseconds(16);

    /// Sets the host list that was created by the entry `listVersion`, and drops all collected reports. To be called only if the list changed.
    void setHosts(std::int64_t listVersion, std::vector<std::string> hosts);

    /// The answer to a question that was received at `now`.
    VersionReportDigest digest(const PeerVersionReport &own, TimePoint now) const;

    /// Merges the answer to a question that was sent at `askedAt`; returns the reports to pass to the freshness gate.
    std::vector<FreshnessGate::TimedVersionReport> onDigest(const VersionReportDigest &digest, TimePoint askedAt);

private:
    struct Row
    {
        std::int64_t version = 0; ///< An upper bound.
        TimePoint validAt = TimePoint::min(); ///< The report was made no earlier than this.
    };

    void updateRow(std::size_t index, std::int64_t version, TimePoint validAt, std::vector<FreshnessGate::TimedVersionReport> &updatedReports);

    std::int64_t listVersion_ = 0;
    std::vector<std::string> hosts_; ///< Sorted.
    std::vector<Row> rows_;
};

} // namespace Lovageloft
