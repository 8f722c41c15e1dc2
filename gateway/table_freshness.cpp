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
    const bool isNew = revision > newestRevision_;
    newestRevision_ = std::max(newestRevision_, revision);
    return isNew;
}

void TableFreshness::noteNothingNewer()
{
    newestRevision_ = table_.revision;
}

bool TableFreshness::notePeerTable(const Table &table)
{
    const bool isLost = table_.revision != 0 && table.version > table_.version && table.revision < table_.revision;
    const bool isNew = isLost && table.version > lostVersion_;
    lostVersion_ = isNew ? table.version : lostVersion_;
    return isNew;
}

Duration TableFreshness::age(TimePoint now) const
{
    return now - provenAt_;
}

bool TableFreshness::isOutdated(TimePoint now, Duration window) const
{
    const bool isReplaced = newestRevision_ > table_.revision && age(now) >= window;
    return isReplaced || table_.version < lostVersion_;
}

} // namespace Lovageloft
