#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "decision/rendezvous.h"
#include "decision/version_history.h"

namespace Lovageloft
{

/// Identifies a stream on all hosts: a digest of the id of the caller's attempt that received its first event, its team and its service. Another
/// team that names the id therefore finds nothing.
enum class StreamKey : std::uint64_t
{
};

StreamKey streamKey(std::string_view attemptId, std::string_view team, std::string_view service);

/// States which software version began a stream.
struct StreamRecord
{
    StreamKey key{};
    std::uint32_t version = 0; ///< shortDigest() of the version; 0 in a reply if the sender does not know it.
};

/// Asks which software version began a stream; or, with key 0, for the records of all streams that the sender is a home of.
struct StreamQuery
{
    StreamKey key{};
    std::uint32_t service = 0; ///< shortDigest() of the service.
};

/// Knows on all hosts which software version began a stream, so that a caller can resume it at any of them.
///
/// The host of a stream sends a record to the stream's two home hosts, or three in a small fleet, chosen by rendezvous hashing, as soon as the first event
/// arrived. A host at which a caller resumes a stream asks the homes, and all other hosts if these don't know it: lists of hosts may differ, and a home
/// may be gone. If none of those that answer has a record, a service that had one version only is concluded from the list of targets. A host that starts
/// asks the others for the records that it is to hold. A record never changes, so messages may be lost, doubled or late. Not thread-safe; reads no clock.
class StreamOrigins
{
public:
    /// How much is known of the version that began a stream.
    enum class Knowledge : std::uint8_t
    {
        Known,
        Unlisted, ///< Of a version that none of the service's targets has had lately.
        Unknown,
    };

    struct Origin
    {
        Knowledge knowledge = Knowledge::Unknown;
        std::string version; ///< If known.
        std::string_view source; ///< Where it is known from: "here", "only_version", "other_host", or "none".
    };

    using Handler = std::function<void(const Origin &)>;

    /// Sends messages to other hosts.
    struct Links
    {
        std::function<void(const std::string &host, const StreamRecord &)> sendRecord;
        std::function<void(const std::string &host, const StreamQuery &)> sendQuery;
    };

    StreamOrigins(std::string host, Links links);

    /// Sets the hosts of the fleet, which include this one.
    void setHosts(const std::vector<std::string> &hosts, TimePoint now);

    /// Sets how long after its begin a stream may be resumed.
    void setRetention(Duration retention);

    void setTargets(std::span<const ServiceVersion> listed, TimePoint now);

    /// See VersionHistory::setEarlier.
    void setEarlier(const std::set<std::string, std::less<>> &skewed, const std::map<std::string, std::string, std::less<>> &serving);

    /// See VersionHistory::observe.
    void observe(TimePoint listedUntil);

    /// See VersionHistory::setSkewed.
    void setSkewed(std::set<std::string, std::less<>> services);

    /// A caller of this host receives the first event of a stream.
    void onBegun(StreamKey key, std::string_view version, TimePoint now);

    /// Finds out which version began a stream of a service. `handler` is called once, at once or within `lookupTimeout`.
    void find(StreamKey key, std::string_view service, TimePoint now, Handler handler);

    // Messages of other hosts.

    void onRecord(const StreamRecord &record, TimePoint now);

    /// Returns the reply to send; nothing if the records that were asked for have been sent instead.
    std::optional<StreamRecord> onQuery(const std::string &host, const StreamQuery &query) const;
    void onReply(const std::string &host, const StreamRecord &reply, TimePoint now);

    /// Repeats questions, ends those that are answered here by now, and gives up on others. To be called at `nextEvent`, and several times a second.
    void onTick(TimePoint now);

    std::optional<TimePoint> nextEvent() const;

    const VersionHistory &history() const
    {
        return history_;
    }

    /// Streams whose version is known here.
    std::size_t size() const;

    /// After this time without an answer a stream's version counts as unknown.
    static constexpr Duration lookupTimeout = std::chrono::milliseconds(150);

private:
    struct Entry
    {
        std::uint32_t version = 0; ///< 0 if records contradict each other.
        bool isOwn = false; ///< A caller of this host received the first event.
    };

    struct Lookup
    {
        std::string service;
        std::vector<Handler> handlers;
        std::set<std::string, std::less<>> silent; ///< Hosts that were asked, or are to be asked, and have not answered.
        std::vector<std::string> homes; ///< The first to be asked.
        TimePoint deadline;
        TimePoint askAt; ///< When to ask the silent ones next.
        bool isAnswered = false; ///< Some host has answered that it has no record.
    };

    using Lookups = std::unordered_map<std::uint64_t, Lookup>;

    std::vector<std::string> homesOf(StreamKey key, const RendezvousNames &candidates) const;
    std::size_t homeCount() const;
    void insert(StreamKey key, const Entry &entry, TimePoint now);
    void sendToNewHomes(const RendezvousNames &earlier);
    void sendRecordsOf(const std::string &home) const;
    void askForRecords(TimePoint now);
    std::optional<Origin> findRecord(StreamKey key, std::string_view service, TimePoint now) const;
    Origin conclude(std::string_view service, TimePoint now) const;
    Origin originOf(std::string_view service, std::uint32_t version, std::string_view source, TimePoint now) const;
    void askFirst(Lookups::iterator entry, TimePoint now);
    void ask(StreamKey key, const Lookup &lookup, std::span<const std::string> hosts) const;
    void askSilent(StreamKey key, Lookup &lookup, TimePoint now) const;
    void finish(Lookups::iterator lookup, const Origin &origin);
    void removeExpired(TimePoint now);

    std::string host_;
    Links links_;
    VersionHistory history_;
    std::vector<std::string> hosts_;
    RendezvousNames candidates_;
    std::unordered_map<std::uint64_t, Entry> entries_; ///< By key.
    std::deque<std::pair<TimePoint, std::uint64_t>> expiries_; ///< When an entry was made, and its key; oldest first.
    Lookups lookups_; ///< By key.
    bool hasAskedForRecords_ = false;
};

} // namespace Lovageloft
