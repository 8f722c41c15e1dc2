#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "core/random.h"
#include "decision/stream_origins.h"

namespace Lovageloft
{

/// A model in virtual time of hosts whose callers begin streams in a service with several software versions, and resume them at other hosts.
/// Messages between hosts take time, may be lost, late or arrive twice; hosts are killed, stand still and start anew, also all at once; lists of
/// targets and of hosts reach each host at another time.
class StreamModel
{
public:
    struct Options
    {
        std::size_t hosts = 9;
        double streamsPerSecond = 60;
        double lossRate = 0; ///< Of messages.
        double doubledRate = 0;
        double lateRate = 0; ///< Of messages that take up to half a second.
        std::uint64_t seed = 0;
        bool usesEarlierSkew = true; ///< Hosts that start know from the store which services had several versions.
        Duration maxWriteDelay = std::chrono::milliseconds(300); ///< Until the leader's write to the store has taken effect.
    };

    /// What became of the streams that callers took up.
    struct Counts
    {
        std::size_t begun = 0;
        std::size_t resumptions = 0;
        std::size_t joined = 0; ///< Went on at another version.
        std::size_t wentOn = 0;
        std::size_t refused = 0; ///< Their version was not known, though its targets serve.
        std::vector<Duration> lookupTimes;
        std::size_t recordBytes = 0; ///< Of records, 23 bytes each.
    };

    explicit StreamModel(const Options &options);

    /// Lists a version's targets, or their end.
    void list(const std::string &version, bool isListed);

    /// Kills all hosts, each of which is back at another time up to `downTime`.
    void killAll(Duration downTime);

    /// Whether the leader's writes to the store fail.
    void setStoreAway(bool isAway);

    /// Kills hosts, which start anew after a time; their callers resume their streams elsewhere.
    void kill(const std::vector<std::size_t> &hosts, Duration downTime);

    /// A host stands still for a time.
    void pause(std::size_t host, Duration time);

    /// A host hears nothing of the store and of other hosts for a time, but its callers reach it.
    void cut(std::size_t host, Duration time);

    /// All streams that a version's targets have begun break; their callers resume them at `host`.
    void breakStreams(const std::string &version, std::size_t host);

    void run(Duration time);

    const Counts &counts() const;

    std::size_t hostCount() const;

    /// A random number below `bound`, from the model's seed.
    std::size_t random(std::size_t bound);

private:
    struct Host
    {
        std::unique_ptr<StreamOrigins> origins; ///< Null while it is down.
        std::map<std::string, TimePoint> versions; ///< Listed ones, as it knows, and since when.
        TimePoint pausedUntil;
        TimePoint cutUntil;
        TimePoint viewedUntil; ///< Its list of targets has all changes until then.
        std::optional<TimePoint> listBehindSince; ///< When the list of targets changed that it has not heard of.
        int process = 0;
    };

    struct Event
    {
        TimePoint at;
        std::uint64_t number = 0;
        std::function<void()> action;

        bool operator<(const Event &other) const
        {
            return std::pair(at, number) > std::pair(other.at, other.number);
        }
    };

    struct Stream
    {
        std::string id;
        std::string version;
        std::size_t host = 0;
        TimePoint end;
    };

    void at(TimePoint time, std::function<void()> action);
    void start(std::size_t index, bool isFirst);
    void send(std::size_t from, const std::string &to, std::function<void(std::size_t to)> deliver);
    void tellTargets(std::size_t index);
    void tellHosts();
    std::vector<std::string> namesOfHostsUp() const;
    void tick(std::size_t index, int process);
    void lead(std::size_t index);
    void write(std::size_t index, std::function<void()> change);
    bool isSkewRecorded() const;
    void begin();
    void resume(const Stream &stream, std::optional<std::size_t> host = std::nullopt);
    void hearRelay(std::size_t index, int process);
    void view(std::size_t index, TimePoint until);
    TimePoint inStepAt(std::size_t index) const;
    bool isUp(std::size_t index) const;

    Options options_;
    Random random_;
    TimePoint now_ = TimePoint(std::chrono::hours(1));
    std::priority_queue<Event> events_;
    std::uint64_t lastEvent_ = 0;
    std::vector<Host> hosts_;
    std::map<std::string, TimePoint> listed_; ///< Versions that are listed now, and since when.
    std::string servingRecord_ = "v1"; ///< In the store: the serving version.
    TimePoint skewRecordedSince_;
    TimePoint skewRecordedUntil_; ///< In the store: until when it holds that there were several versions.
    TimePoint nextWriteAt_;
    bool isStoreAway_ = false;
    std::vector<Stream> streams_; ///< In life.
    std::uint64_t lastStream_ = 0;
    Counts counts_;
};

} // namespace Lovageloft
