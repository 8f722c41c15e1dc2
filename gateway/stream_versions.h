#pragma once

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "core/metrics.h"
#include "decision/stream_origins.h"
#include "gateway/request_intake.h"
#include "gateway/target.h"

namespace Lovageloft
{

/// Knows which software version began a stream that a caller resumes, wherever it began. For use on the event loop only.
class StreamVersions
{
public:
    /// Sends messages to other hosts, and tells what else this host knows.
    struct Links
    {
        StreamOrigins::Links messages;
        std::function<TimePoint()> listedUntil; ///< Until when this host's list of targets has all changes.
    };

    StreamVersions(boost::asio::io_context &loop, std::string hostName, Metrics &metrics, Links links);

    void setHosts(const std::vector<std::string> &hosts);

    /// Sets for how long after its begin a stream may be resumed.
    void setRetention(Duration retention);

    void setTargets(const TargetMap &targets);

    /// Sets what the store held when this host started: the services that had targets of several versions, and the serving version of each service.
    void setEarlier(const std::set<std::string, std::less<>> &skewed, const std::map<std::string, std::string, std::less<>> &serving);

    /// Sets the services of which the store holds that they have, or lately had, several versions.
    void setSkewed(std::set<std::string, std::less<>> services);

    /// For how long a service that has had several versions is recorded, from the last time that it had.
    Duration skewTimeToLive() const;

    /// Records in the store, for hosts that start later, which services have had several versions; for `timeToLive`.
    using SkewRecorder = std::function<void(const std::vector<std::string> &services, Duration timeToLive)>;

    /// Must be called before the event loop runs.
    void setSkewRecorder(SkewRecorder recorder);

    /// Whether this host is the leader, which has the skew recorded.
    void setLeading(bool isLeading);

    /// The caller of a request receives its stream's first event of this attempt.
    void onBegun(const RequestIntake &intake, std::string_view version);

    /// Finds out which version began the stream that a request resumes. `handler` is called once, possibly before this function returns.
    void find(const RequestIntake &intake, StreamOrigins::Handler handler);

    // Messages of other hosts.

    void onRecord(const StreamRecord &record);
    std::optional<StreamRecord> onQuery(const std::string &host, const StreamQuery &query);
    void onReply(const std::string &host, const StreamRecord &reply);

    /// To be called several times a second.
    void tick(TimePoint now);

    const StreamOrigins &origins() const
    {
        return origins_;
    }

private:
    void observe();
    void armTimer();
    void recordSkew(TimePoint now);
    void onFound(const RequestIntake &intake, TimePoint askedAt, const StreamOrigins::Origin &origin);

    StreamOrigins origins_;
    Metrics &metrics_;
    std::function<TimePoint()> listedUntil_;
    SkewRecorder recorder_ = [](const std::vector<std::string> &, Duration) {};
    bool isLeading_ = false;
    std::vector<std::string> recordedSkew_; ///< As last recorded.
    TimePoint recordAgainAt_;
    boost::asio::steady_timer timer_;
};

/// Name of how much is known of a stream's version, in logs and metrics.
std::string_view knowledgeName(StreamOrigins::Knowledge knowledge);

} // namespace Lovageloft
