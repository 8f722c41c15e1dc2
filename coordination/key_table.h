#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "coordination/configuration.h"

namespace Lovageloft
{

/// The team that a presented key belongs to.
struct KeyMatch
{
    std::string team;
    std::string keyId; ///< Identifies the key in logs.

    bool operator==(const KeyMatch &) const = default;
};

/// Finds the team of a presented key. Each key is stored under its own salt, so a linear search would have to hash the presented key once
/// per stored key: with 580 teams, five keys each and 10,000 requests a second, 29 million digests a second. To avoid that, a key of
/// the form `lk-NAME-SECRET` is looked up by its public id `lk-NAME`, and is hashed only once for each stored key with that id: usually once,
/// whether the key is known or not. All other keys are searched linearly among the stored keys whose id doesn't begin with "lk-".
/// Immutable and therefore thread-safe: a new table is built for each state.
class KeyTable
{
public:
    explicit KeyTable(const ConfigurationState &state);

    /// Returns the owner of `key`. Nothing if the key is unknown or, by an operator's mistake, belongs to two teams, because a request must
    /// never run for the wrong team. Two teams are noticed only if both store the key under the same public id, or both without one. The time
    /// depends on the number of keys with the same public id, or of keys without one, but not on which of them matches.
    std::optional<KeyMatch> find(std::string_view key) const;

    /// The public id in the text of `key` ("lk-NAME" of "lk-NAME-SECRET"), empty if it has none. NAME may contain "-", SECRET must
    /// not: everything before the last "-" is the id.
    static std::string_view publicId(std::string_view key);

private:
    struct Entry
    {
        KeyDigest digest;
        std::string team;
    };

    static std::optional<KeyMatch> search(const std::vector<Entry> &entries, std::string_view key);

    std::unordered_map<std::string, std::vector<Entry>> entriesByPublicId_;
    std::vector<Entry> entriesWithoutPublicId_;
    std::vector<Entry> decoy_; ///< Searched for an unknown id, so that the response time doesn't reveal which ids exist.
};

} // namespace Lovageloft
