#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>

namespace Lovageloft
{

/// Maps names from the configuration (teams, keys, models) to small ids, so that comparisons are cheap. Ids are dense, start at 0 and
/// are never freed: don't add names chosen by callers, which would let memory grow without limit.
template <typename Id>
class IdTable
{
public:
    /// Returns the id of a name; a new name gets a new id.
    Id idOf(std::string_view name)
    {
        const auto found = ids_.find(name);
        if (found != ids_.end()) {
            return found->second;
        }
        const auto id = static_cast<Id>(names_.size());
        names_.emplace_back(name);
        ids_.emplace(names_.back(), id);
        return id;
    }

    /// Returns the name of an id from this table; throws std::out_of_range for any other id.
    std::string_view nameOf(Id id) const
    {
        return names_.at(static_cast<std::size_t>(id));
    }

private:
    std::deque<std::string> names_; ///< A deque keeps the strings in place, since the map's views point into them.
    std::unordered_map<std::string_view, Id> ids_;
};

} // namespace Lovageloft
