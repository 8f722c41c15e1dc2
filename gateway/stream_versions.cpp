#include "gateway/stream_versions.h"

#include <algorithm>
#include <array>
#include <utility>

#include "core/log.h"

namespace Lovageloft
{

StreamVersions::StreamVersions(boost::asio::io_context &loop, std::string hostName, Metrics &metrics, Links links)
    : origins_(std::move(hostName), std::move(links.messages))
    , metrics_(metrics)
    , listedUntil_(std::move(links.listedUntil))
    , timer_(loop)
{
}

void StreamVersions::setHosts(const std::vector<std::string> &hosts)
{
    origins_.setHosts(hosts, BootClock::now());
}

void StreamVersions::setRetention(Duration retention)
{
    origins_.setRetention(retention);
}

void StreamVersions::setTargets(const TargetMap &targets)
{
    std::vector<ServiceVersion> listed;
    for (const auto &[id, target] : targets) {
        listed.push_back({target.service, target.softwareVersion});
    }
    origins_.setTargets(listed, BootClock::now());
}

void StreamVersions::setEarlier(const std::set<std::string, std::less<>> &skewed, const std::map<std::string, std::string, std::less<>> &serving)
{
    origins_.setEarlier(skewed, serving);
}

void StreamVersions::setSkewed(std::set<std::string, std::less<>> services)
{
    origins_.setSkewed(std::move(services));
}

Duration StreamVersions::skewTimeToLive() const
{
    return 2 * origins_.history().retention();
}

void StreamVersions::setSkewRecorder(SkewRecorder recorder)
{
    recorder_ = std::move(recorder);
}

void StreamVersions::setLeading(bool isLeading)
{
    isLeading_ = isLeading;
    recordedSkew_.clear();
}

/// Records outlive the retention time after the last of them, as they are renewed each time a part of it has passed.
void StreamVersions::recordSkew(TimePoint now)
{
    const std::vector<std::string> skewed = origins_.history().skewedServices(now);
    if (!isLeading_ || skewed.empty() || (skewed == recordedSkew_ && now < recordAgainAt_)) {
        return;
    }
    recordedSkew_ = skewed;
    recordAgainAt_ = now + origins_.history().retention() / 2;
    recorder_(skewed, skewTimeToLive());
}

void StreamVersions::onBegun(const RequestIntake &intake, std::string_view version)
{
    origins_.onBegun(streamKey(intake.caller().id, intake.teamName(), intake.service()), version, BootClock::now());
}

void StreamVersions::find(const RequestIntake &intake, StreamOrigins::Handler handler)
{
    const TimePoint now = BootClock::now();
    const StreamKey key = streamKey(intake.caller().resumes, intake.teamName(), intake.service());
    observe();
    origins_.find(key, intake.service(), now, [this, &intake, now, handler = std::move(handler)](const StreamOrigins::Origin &origin) {
        onFound(intake, now, origin);
        handler(origin);
    });
    armTimer();
}

void StreamVersions::onFound(const RequestIntake &intake, TimePoint askedAt, const StreamOrigins::Origin &origin)
{
    const std::string_view knowledge = knowledgeName(origin.knowledge);
    metrics_.add("lovageloft_stream_resumptions_total", {{"service", intake.service()}, {"knowledge", knowledge}, {"source", origin.source}});
    writeLog(LogLevel::Info,
             "stream_resumed",
             {{"request", intake.caller().id},
              {"resumes", intake.caller().resumes},
              {"after", intake.caller().lastEventId},
              {"knowledge", knowledge},
              {"version", origin.version},
              {"source", origin.source},
              {"asked_ms", toMillis(BootClock::now() - askedAt)},
              {"list_age_ms", toMillis(BootClock::now() - origins_.history().listedUntil())}});
}

void StreamVersions::observe()
{
    const TimePoint before = origins_.history().listedUntil();
    origins_.observe(listedUntil_());
    const TimePoint listedUntil = origins_.history().listedUntil();
    if (listedUntil != before && origins_.history().gapEndedAt() == listedUntil) {
        writeLog(LogLevel::Info, "target_list_gap", {{"ms", toMillis(listedUntil - before)}});
        metrics_.add("lovageloft_target_list_gaps_total");
    }
}

void StreamVersions::onRecord(const StreamRecord &record)
{
    origins_.onRecord(record, BootClock::now());
}

std::optional<StreamRecord> StreamVersions::onQuery(const std::string &host, const StreamQuery &query)
{
    observe();
    return origins_.onQuery(host, query);
}

void StreamVersions::onReply(const std::string &host, const StreamRecord &reply)
{
    origins_.onReply(host, reply, BootClock::now());
}

void StreamVersions::tick(TimePoint now)
{
    observe();
    origins_.onTick(now);
    recordSkew(now);
}

void StreamVersions::armTimer()
{
    const auto next = origins_.nextEvent();
    if (!next) {
        return;
    }
    timer_.expires_after(std::max(*next - BootClock::now(), Duration::zero()));
    timer_.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            observe();
            origins_.onTick(BootClock::now());
            armTimer();
        }
    });
}

std::string_view knowledgeName(StreamOrigins::Knowledge knowledge)
{
    constexpr std::array<std::string_view, 3> names{"known", "unlisted", "unknown"};
    return names.at(static_cast<std::size_t>(knowledge));
}

} // namespace Lovageloft
