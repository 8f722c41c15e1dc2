#include "coordination/version_report_table.h"

#include <algorithm>
#include <utility>

namespace Lovageloft
{

namespace
{

constexpr std::uint8_t noAge = 255;

/// Rounded up, because a report must never appear newer than it is.
std::uint8_t encodeAge(Duration age)
{
    const auto units = (age + VersionReportTable::ageUnit - Duration(1)) / VersionReportTable::ageUnit;
    return units < noAge ? static_cast<std::uint8_t>(units) : noAge;
}

} // namespace

void VersionReportTable::setHosts(std::int64_t listVersion, std::vector<std::string> hosts)
{
    std::sort(hosts.begin(), hosts.end());
    listVersion_ = listVersion;
    hosts_ = std::move(hosts);
    rows_.assign(hosts_.size(), Row{});
}

VersionReportDigest VersionReportTable::digest(const PeerVersionReport &own, TimePoint now) const
{
    VersionReportDigest digest{own, listVersion_, own.versionHeld, std::vector<std::uint8_t>(hosts_.size(), noAge)};
    for (std::size_t index = 0; index < hosts_.size(); ++index) {
        if (rows_[index].validAt == TimePoint::min()) {
            continue;
        }
        digest.ages[index] = encodeAge(now - rows_[index].validAt);
        if (digest.ages[index] != noAge) {
            digest.maxVersion = std::max(digest.maxVersion, rows_[index].version);
        }
    }
    return digest;
}

std::vector<FreshnessGate::TimedVersionReport> VersionReportTable::onDigest(const VersionReportDigest &digest, TimePoint askedAt)
{
    // The peer's own report goes to the gate in any case: that of a restarted host withdraws what the host reported before.
    std::vector<FreshnessGate::TimedVersionReport> updatedReports{{digest.own, askedAt}};
    const auto own = std::lower_bound(hosts_.begin(), hosts_.end(), digest.own.host);
    if (own != hosts_.end() && *own == digest.own.host && digest.own.isCaughtUp) {
        updateRow(static_cast<std::size_t>(own - hosts_.begin()), digest.own.versionHeld, askedAt, updatedReports);
    }
    if (digest.listVersion != listVersion_ || digest.ages.size() != hosts_.size()) {
        return updatedReports;
    }
    for (std::size_t index = 0; index < hosts_.size(); ++index) {
        if (digest.ages[index] != noAge) {
            updateRow(index, digest.maxVersion, askedAt - digest.ages[index] * ageUnit, updatedReports);
        }
    }
    return updatedReports;
}

void VersionReportTable::updateRow(std::size_t index, std::int64_t version, TimePoint validAt, std::vector<FreshnessGate::TimedVersionReport> &updatedReports)
{
    Row &row = rows_[index];
    if (validAt <= row.validAt) {
        return;
    }
    row = {version, validAt};
    updatedReports.push_back({{hosts_[index], 0, version, true}, validAt});
}

} // namespace Lovageloft
