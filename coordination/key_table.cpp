#include "coordination/key_table.h"

namespace Lovageloft
{

namespace
{

constexpr std::string_view idPrefix = "lk-";

} // namespace

KeyTable::KeyTable(const ConfigurationState &state)
    : decoy_{{KeyDigest{"decoy", std::string(32, '0'), std::string(64, '0')}, {}}}
{
    for (const auto &[name, team] : state.teams()) {
        for (const KeyDigest &digest : team.keys) {
            std::vector<Entry> &entries = digest.id.starts_with(idPrefix) ? entriesByPublicId_[digest.id] : entriesWithoutPublicId_;
            entries.push_back({digest, name});
        }
    }
}

std::optional<KeyMatch> KeyTable::find(std::string_view key) const
{
    const std::string_view id = publicId(key);
    if (id.empty()) {
        return search(entriesWithoutPublicId_, key);
    }
    const auto entries = entriesByPublicId_.find(std::string(id));
    return search(entries == entriesByPublicId_.end() ? decoy_ : entries->second, key);
}

std::string_view KeyTable::publicId(std::string_view key)
{
    if (!key.starts_with(idPrefix)) {
        return {};
    }
    const std::size_t end = key.rfind('-');
    return end <= idPrefix.size() ? std::string_view() : key.substr(0, end);
}

std::optional<KeyMatch> KeyTable::search(const std::vector<Entry> &entries, std::string_view key)
{
    const Entry *found = nullptr;
    bool isAmbiguous = false;
    for (const Entry &entry : entries) {
        if (!matchesKey(entry.digest, key)) {
            continue;
        }
        isAmbiguous = isAmbiguous || (found != nullptr && found->team != entry.team);
        found = &entry;
    }
    if (found == nullptr || isAmbiguous) {
        return std::nullopt;
    }
    return KeyMatch{found->team, found->digest.id};
}

} // namespace Lovageloft
