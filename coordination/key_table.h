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
    std::string keyId; ///< Names the key in logs.

    bool operator==(const KeyMatch &) const = default;
};

/// Finds the team of a presented key. Keys are kept under a salt each, so that a plain search digests the presented key once for
/// every key there is: 580 teams with five keys and 10,000 requests a second would be 29 million digests a second. A key of
/// the form `lk-NAME-SECRET` whose digest has the id `lk-NAME` therefore costs a single digest, whether it is known or not. Keys with
/// other ids are searched for among themselves only. Immutable: made anew for each state, and so safe to share between threads.
class KeyTable
{
public:
    explicit KeyTable(const ConfigurationState &state);

    /// The owner of `key`, or nothing if it is unknown or, by an operator's mistake, belongs to two teams: a request must
    /// never run for the wrong one. The time taken depends on the number of keys with the same public id, or without one, not on which matches.
    std::optional<KeyMatch> find(std::string_view key) const;

    /// The id in `key`'s text ("lk-NAME" of "lk-NAME-SECRET"), empty if it has none. The secret holds no "-".
    static std::string_view publicId(std::string_view key);

private:
    struct Entry
    {
        KeyDigest digest;
        std::string team;
    };

    static std::optional<KeyMatch> search(const std::vector<Entry> &entries, std::string_view key);

    std::unordered_map<std::string, std::vector<Entry>> withId_;
    std::vector<Entry> withoutId_;
    std::vector<Entry> decoy_; ///< Searched for an unknown id, so that the time doesn't tell which ids there are.
};

} // namespace Lovageloft
