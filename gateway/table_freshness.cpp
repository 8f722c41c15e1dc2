#include "gateway/table_freshness.h"

#include <algorithm>

namespace Lovageloft
{

void TableFreshness::setTable(const Table &table, TimePoint provenAt)
{
    table_ = table;
    provenAt_ = std::max(provenAt_, provenAt);
}

void TableFreshness::confirm(std::int64_t revision, TimePoint provenAt)
{
    if (revision == table_.revision) {
        provenAt_ = std::max(provenAt_, provenAt);
        noteNothingNewer();
    }
}

bool TableFreshness::noteNewer(std::int64_t revision)
{
    const bool isNews = revision > newestRevision_;
    newestRevision_ = std::max(newestRevision_, revision);
    return isNews;
}

void TableFreshness::noteNothingNewer()
{
    newestRevision_ = table_.revision;
}

bool TableFreshness::notePeerTable(const Table &table)
{
    const bool isLost = table_.revision != 0 && table.version > table_.version && table.revision < table_.revision;
    const bool isNews = isLost && table.version > versionLost_;
    versionLost_ = isNews ? table.version : versionLost_;
    return isNews;
}

Duration TableFreshness::age(TimePoint now) const
{
    return now - provenAt_;
}

bool TableFreshness::isOutdated(TimePoint now, Duration window) const
{
    const bool isReplaced = newestRevision_ > table_.revision && age(now) >= window;
    return isReplaced || table_.version < versionLost_;
}

} // namespace Lovageloft
