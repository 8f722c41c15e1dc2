#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>

namespace Lovageloft
{

/// Gives out small ids for names (teams, keys, models) that come from the configuration, so that decisions
/// compare numbers. Ids are dense, begin at 0 and are never taken back: feed it no name that a caller invents.
template <typename Id>
class IdTable
{
public:
    /// The id of a name, a new one if the name was not seen before.
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

    /// The name of an id that this table gave out.
    std::string_view nameOf(Id id) const
    {
        return names_.at(static_cast<std::size_t>(id));
    }

private:
    std::deque<std::string> names_; ///< A deque, since the map's views point into its strings.
    std::unordered_map<std::string_view, Id> ids_;
};

} // namespace Lovageloft
