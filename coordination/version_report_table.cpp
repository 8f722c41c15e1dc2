#include "coordination/version_report_table.h"

#include <algorithm>
#include <utility>

namespace Lovageloft
{

namespace
{

constexpr std::uint8_t noAge = 255;

/// Rounded up, since a vouch must not look younger than it is.
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
    for (std::size_t place = 0; place < hosts_.size(); ++place) {
        if (rows_[place].trueAt == TimePoint::min()) {
            continue;
        }
        digest.ages[place] = encodeAge(now - rows_[place].trueAt);
        if (digest.ages[place] != noAge) {
            digest.greatestVersion = std::max(digest.greatestVersion, rows_[place].version);
        }
    }
    return digest;
}

std::vector<FreshnessGate::TimedVersionReport> VersionReportTable::onDigest(const VersionReportDigest &digest, TimePoint askedAt)
{
    // Its own word goes to the gate in any case: a restarted host withdraws what it vouched for.
    std::vector<FreshnessGate::TimedVersionReport> improved{{digest.own, askedAt}};
    const auto own = std::lower_bound(hosts_.begin(), hosts_.end(), digest.own.host);
    if (own != hosts_.end() && *own == digest.own.host && digest.own.isCaughtUp) {
        improve(static_cast<std::size_t>(own - hosts_.begin()), digest.own.versionHeld, askedAt, improved);
    }
    if (digest.listVersion != listVersion_ || digest.ages.size() != hosts_.size()) {
        return improved;
    }
    for (std::size_t place = 0; place < hosts_.size(); ++place) {
        if (digest.ages[place] != noAge) {
            improve(place, digest.greatestVersion, askedAt - digest.ages[place] * ageUnit, improved);
        }
    }
    return improved;
}

void VersionReportTable::improve(std::size_t place, std::int64_t version, TimePoint trueAt, std::vector<FreshnessGate::TimedVersionReport> &improved)
{
    Row &row = rows_[place];
    if (trueAt <= row.trueAt) {
        return;
    }
    row = {version, trueAt};
    improved.push_back({{hosts_[place], 0, version, true}, trueAt});
}

} // namespace Lovageloft
