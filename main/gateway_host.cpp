#include "main/gateway_host.h"

#include <algorithm>
#include <random>

#include "core/log.h"
#include "memory/machine_limits.h"

namespace Lovageloft
{

namespace
{

constexpr std::string_view ownPrefix = "lovageloft/";
constexpr std::string_view hostsPrefix = "lovageloft/hosts/";
constexpr std::string_view weightsPrefix = "lovageloft/weights/";
constexpr std::string_view quarantinePrefix = "lovageloft/quarantine/";
constexpr std::string_view versionsPrefix = "lovageloft/versions/";
constexpr std::string_view skewPrefix = "lovageloft/skew/";
constexpr std::string_view rolloutsPrefix = "lovageloft/rollouts/";
constexpr std::string_view leaderKey = "lovageloft/leader";

/// The shutdown ends this long before the platform kills the process.
constexpr Duration shutdownMargin = std::chrono::milliseconds(700);

/// How long the shutdown waits for duties that return their leases.
constexpr Duration maxLeaseReturnTime = shutdownMargin / 2;

/// Time to live of a host's lease, in key proof windows; HostDuty explains why it must be longer than one.
constexpr int hostLeaseInProofWindows = 2;

/// Time between the notice that an engine will load and the order. One or two long prompts of 150 ms each wait in an engine; after this time all
/// waiting requests have begun, and none is declined.
constexpr Duration loadNotice = std::chrono::milliseconds(300);

/// How long an engine gets no requests after an order to load, unless it announces earlier that it has loaded. It first finishes its running
/// requests, which takes up to five seconds, and declines new ones meanwhile.
constexpr Duration announcedLoad = std::chrono::seconds(6);

/// Minimum wait of a new leader before its first order to an engine that does not check fencing tokens. The previous leader stops when the lease
/// margin begins, and its calls end within 250 ms.
constexpr Duration settleTime = std::chrono::milliseconds(300);

GatewayLimits gatewayLimits(const GatewaySettings &settings)
{
    GatewayLimits limits;
    limits.keyProofWindow = settings.keyProofWindow;
    limits.configurationWindow = settings.configurationWindow;
    limits.weightsDeadline = settings.weightsDeadline;
    limits.retries = {settings.retryRatio, settings.retrySlack};
    limits.quotaOver = settings.quotaOver;
    limits.quotaSlack = settings.quotaSlack;
    limits.requestsWaitForTokens = settings.requestsWaitForTokens;
    limits.exposure = {settings.exposureShare, settings.exposureSlack, settings.rollbackTime};
    limits.adaptsToEngines = settings.adaptsToEngines;
    limits.drainLimit = settings.shutdownTimeout - shutdownMargin;
    limits.drainNotice = std::min(limits.drainNotice, limits.drainLimit / 2);
    return limits;
}

GatewayOptions gatewayOptions(const GatewaySettings &settings, std::uint16_t metricsPort)
{
    GatewayOptions options;
    options.callers = settings.callers;
    options.readiness = settings.readiness;
    options.peers = settings.peers;
    if (metricsPort != 0) {
        options.metrics = HostAddress{settings.callers.host, metricsPort};
    }
    options.hostName = settings.hostName;
    options.dataCentre = settings.dataCentre;
    options.limits = gatewayLimits(settings);
    options.callerBufferBytes = settings.callerBufferBytes();
    options.connections = settings.connectionLimits();
    return options;
}

OrderOptions orderOptions()
{
    OrderOptions options;
    options.answerTimeout = std::chrono::seconds(1); // Calls to engines end within 250 ms.
    options.loadTimeout = std::chrono::seconds(3); // A load takes about 0.4 s; an engine that doesn't answer must not hold up the others.
    // An engine first finishes its running requests, which takes about as long as loading. With three loads at a time 18 engines take over 8 s,
    // which violates the deadline for new weights; with six they take 4 s. The other two thirds of the engines can take over the requests.
    options.maxLoadFraction = 1.0 / 3;
    options.loadNotice = loadNotice;
    options.maxReportAge = std::chrono::milliseconds(600); // Reports are some hundred milliseconds old; a load takes about 400.
    options.loadPollInterval = std::chrono::milliseconds(200);
    options.pollInterval = std::chrono::minutes(5); // Engines announce their weights in their entries.
    options.retryDelay = std::chrono::milliseconds(300);
    return options;
}

std::string processName(const std::string &host)
{
    return host + '/' + std::to_string(std::random_device{}());
}

/// A setting, and whether a new value applies without a restart. Addresses are bound, and leases granted, at startup.
struct SettingField
{
    std::string_view name;
    bool (*isSame)(const GatewaySettings &, const GatewaySettings &);
    bool isLive;
};

template <auto Member>
bool isSame(const GatewaySettings &left, const GatewaySettings &right)
{
    return left.*Member == right.*Member;
}

constexpr auto settingFields = std::to_array<SettingField>({
    {"host_name", &isSame<&GatewaySettings::hostName>, false},
    {"data_centre", &isSame<&GatewaySettings::dataCentre>, false},
    {"callers", &isSame<&GatewaySettings::callers>, false},
    {"readiness", &isSame<&GatewaySettings::readiness>, false},
    {"store", &isSame<&GatewaySettings::store>, false},
    {"peers", &isSame<&GatewaySettings::peers>, false},
    {"capacity", &isSame<&GatewaySettings::capacity>, false},
    {"memory", &isSame<&GatewaySettings::memoryMegabytes>, false},
    {"descriptors", &isSame<&GatewaySettings::descriptors>, false},
    {"leader_lease", &isSame<&GatewaySettings::leaderLease>, false},
    {"shortest_lease", &isSame<&GatewaySettings::minLeaseTimeToLive>, false},
    {"engines_check_fencing", &isSame<&GatewaySettings::enginesCheckFencing>, false},
    {"key_proof_window", &isSame<&GatewaySettings::keyProofWindow>, true},
    {"configuration_window", &isSame<&GatewaySettings::configurationWindow>, true},
    {"weights_deadline", &isSame<&GatewaySettings::weightsDeadline>, true},
    {"shutdown_limit", &isSame<&GatewaySettings::shutdownTimeout>, true},
    {"retry_ratio", &isSame<&GatewaySettings::retryRatio>, true},
    {"retry_slack", &isSame<&GatewaySettings::retrySlack>, true},
    {"quota_over", &isSame<&GatewaySettings::quotaOver>, true},
    {"quota_slack", &isSame<&GatewaySettings::quotaSlack>, true},
    {"requests_wait_for_tokens", &isSame<&GatewaySettings::requestsWaitForTokens>, true},
    {"exposure_share", &isSame<&GatewaySettings::exposureShare>, true},
    {"exposure_slack", &isSame<&GatewaySettings::exposureSlack>, true},
    {"rollback_time", &isSame<&GatewaySettings::rollbackTime>, true},
});

/// Settings that the platform does not state follow from what the machine allows.
GatewaySettings withMachineLimits(GatewaySettings settings)
{
    constexpr double bytesPerMegabyte = 1e6;
    const MachineLimits machine = readMachineLimits();
    if (settings.memoryMegabytes <= 0) {
        settings.memoryMegabytes = static_cast<double>(machine.memoryBytes) / bytesPerMegabyte;
    }
    if (settings.descriptors == 0 || (machine.descriptors != 0 && machine.descriptors < settings.descriptors)) {
        settings.descriptors = machine.descriptors;
    }
    return settings;
}

} // namespace

GatewayHost::GatewayHost(const GatewaySettings &settings, std::uint16_t metricsPort)
    : settings_(withMachineLimits(settings))
    , store_({.address = settings.store, .valueBytes = settings.storeValueBytes})
    , measuredStore_(store_, metrics_)
    , relayedStore_(measuredStore_, settings.hostName)
    , gateway_(gatewayOptions(settings_, metricsPort), callerProtocol_, targetProtocol_, metrics_)
    , feed_(records_, listeners())
    , configurationDuty_(relayedStore_, records_, feed_)
    , proofDuty_(relayedStore_, records_, feed_, settings.configurationWindow)
    , targetDuty_(relayedStore_, records_, [this](const std::shared_ptr<const TargetMap> &targets, std::int64_t revision) { onTargets(targets, revision); })
    , hostDuty_(relayedStore_, gateway_, hostOptions())
    , storeProbeDuty_(relayedStore_, [this] { return hostDuty_.leaseId(); })
    , skewDuty_(measuredStore_, std::string(skewPrefix))
    , weightsDuty_(measuredStore_, engineControl_, weightsOptions())
    , cacheStoreDuty_(gateway_, relayedStore_, engineControl_)
    , rolloutDuty_(measuredStore_, records_, rolloutOptions())
{
    gateway_.fleet().setRelayedStore(relayedStore_);
    gateway_.setWeightsListener([this](const std::vector<PublishedWeights> &weights) { weightsDuty_.setPublishedWeights(weights); });
    gateway_.setControlListener([this](bool canOrder) { weightsDuty_.setCanOrder(canOrder); });
    gateway_.fleet().setQuarantineRecorder([this](RequestFeature request) { hostDuty_.recordQuarantine(request); });
    gateway_.versions().requireSkewRecords();
    gateway_.versions().setRecorder([this](const auto &versions) { hostDuty_.recordServingVersions(versions, gateway_.streams().skewTimeToLive()); });
    gateway_.streams().setSkewRecorder([this](const auto &services, Duration timeToLive) { skewDuty_.record(services, timeToLive); });
    gateway_.rollouts().setWriter([this](const std::string &service, const RolloutRecord &record) { rolloutDuty_.write(service, record); });
    gateway_.rollouts().setLeaseClock([this] { return weightsDuty_.leaseUntil(); });
    gateway_.fleet().setOrderListener([this](const std::string &target) { weightsDuty_.onOrderByOther(target); });
}

ConfigurationFeed::Listeners GatewayHost::listeners()
{
    return {[this](const auto &table, TimePoint provenAt) { onConfiguration(table, provenAt); },
            [this](std::int64_t revision, TimePoint provenAt) {
                gateway_.post([revision, provenAt](Gateway &gateway) { gateway.confirmTable(revision, provenAt); });
            },
            [this](const PublishedWeights &weights) { onWeights(weights); },
            [this](std::int64_t revision) { gateway_.post([revision](Gateway &gateway) { gateway.noteNewerTable(revision); }); },
            [this](const std::string &service, const SeenRolloutOrder &seen) {
                gateway_.post([service, seen](Gateway &gateway) { gateway.rollouts().setOrder(service, seen); });
            },
            [this](const std::string &service) { gateway_.post([service](Gateway &gateway) { gateway.rollouts().removeOrder(service); }); }};
}

HostDuty::Options GatewayHost::hostOptions()
{
    HostDuty::Options options;
    options.prefix = ownPrefix;
    options.hostsPrefix = hostsPrefix;
    options.weightsPrefix = weightsPrefix;
    options.quarantinePrefix = quarantinePrefix;
    options.versionsPrefix = versionsPrefix;
    options.skewPrefix = skewPrefix;
    options.rolloutsPrefix = rolloutsPrefix;
    options.hostName = settings_.hostName;
    options.record = {settings_.peers, settings_.capacity, settings_.dataCentre};
    options.leaseTimeToLive = settings_.keyProofWindow * hostLeaseInProofWindows;
    options.leaderKey = leaderKey;
    options.onApplied = [this](std::int64_t revision) { relayedStore_.onApplied(ownPrefix, revision); };
    options.onLeader = [this](const std::string &host) { weightsDuty_.setLeader(host); };
    options.onHosts = [this](const std::vector<std::string> &candidates, std::size_t hosts) { weightsDuty_.setHosts(candidates, hosts); };
    options.onQuarantined = [this](RequestFeature request) {
        gateway_.post([request](Gateway &gateway) { gateway.fleet().crashes().onQuarantined({}, {request, {}, false}, BootClock::now()); });
    };
    return options;
}

RolloutDuty::Options GatewayHost::rolloutOptions()
{
    RolloutDuty::Options options;
    options.recordsPrefix = rolloutsPrefix;
    options.versionsPrefix = versionsPrefix;
    options.leaseUntil = [this] { return weightsDuty_.leaseUntil(); };
    options.onRecord = [this](const std::string &service, const RolloutRecord &record) {
        gateway_.post([service, record](Gateway &gateway) { gateway.rollouts().setRecord(service, record); });
    };
    return options;
}

WeightsDuty::Options GatewayHost::weightsOptions()
{
    constexpr int leaseParts = 10; // A tenth of the lease is the margin for clock drift and late wake-ups.
    WeightsDuty::Options options;
    options.leaderKey = leaderKey;
    options.holder = processName(settings_.hostName);
    options.holderName = settings_.hostName;
    options.lease.timeToLive = std::max(settings_.leaderLease, settings_.minLeaseTimeToLive);
    options.lease.margin = options.lease.timeToLive / leaseParts;
    options.lease.pollInterval = std::chrono::hours(1); // Candidacy decides when to poll.
    options.lease.retryDelay = std::chrono::milliseconds(700);
    options.lease.settleTime = std::max(settleTime, options.lease.margin);
    options.enginesCheckFencing = settings_.enginesCheckFencing;
    options.deadline = settings_.weightsDeadline;
    options.recordsPrefix = weightsPrefix;
    options.orders = orderOptions();
    options.orders.handoverDelay = options.lease.timeToLive;
    options.orders.listeningSince = BootClock::now();
    options.beforeLoad = [this](const LoadNotice &notice) {
        gateway_.post([notice](Gateway &gateway) { gateway.fleet().announceLoading(notice.target, notice.model, announcedLoad); });
    };
    return options;
}

bool GatewayHost::start(Reason &reason)
{
    if (!gateway_.open(reason)) {
        return false;
    }
    configurationDuty_.start();
    proofDuty_.start();
    targetDuty_.start();
    hostDuty_.start();
    storeProbeDuty_.start();
    skewDuty_.start();
    weightsDuty_.start();
    cacheStoreDuty_.start();
    rolloutDuty_.start();
    writeLog(LogLevel::Info, "host_started", {{"data_centre", settings_.dataCentre}, {"callers_port", std::int64_t{settings_.callers.port}}});
    return true;
}

void GatewayHost::run()
{
    gateway_.run();
    storeProbeDuty_.stop();
    skewDuty_.stop();
    hostDuty_.stop();
    configurationDuty_.stop();
    proofDuty_.stop();
    targetDuty_.stop();
    rolloutDuty_.stop();
    // These two return their leases, so that other hosts need not wait for the leases to expire. While the store does not respond, that takes
    // longer than the platform waits.
    const TimePoint limit = BootClock::now() + maxLeaseReturnTime;
    const bool hasHostDutyEnded = hostDuty_.joinFor(limit - BootClock::now());
    const bool hasWeightsDutyEnded = weightsDuty_.joinFor(limit - BootClock::now());
    writeLog(LogLevel::Info, "host_stopped", {{"leases_returned", hasHostDutyEnded && hasWeightsDutyEnded}});
}

void GatewayHost::reload(const GatewaySettings &settings)
{
    std::string applied;
    std::string needsStart;
    for (const SettingField &field : settingFields) {
        if (!field.isSame(settings_, settings)) {
            std::string &list = field.isLive ? applied : needsStart;
            list.append(list.empty() ? "" : ",").append(field.name);
        }
    }
    writeLog(needsStart.empty() ? LogLevel::Info : LogLevel::Warning, "settings_applied", {{"applied", applied}, {"needs_start", needsStart}});
    settings_ = settings;
    gateway_.post([limits = gatewayLimits(settings)](Gateway &gateway) { gateway.setLimits(limits); });
}

void GatewayHost::drain()
{
    // Leadership ends first, so that another host can take over while this one still serves.
    weightsDuty_.stop();
    gateway_.post([](Gateway &gateway) { gateway.drain(); });
}

void GatewayHost::onTargets(const std::shared_ptr<const TargetMap> &targets, std::int64_t revision)
{
    weightsDuty_.setTargets(targets);
    gateway_.post([this, targets, revision](Gateway &gateway) {
        gateway.setTargets(targets);
        relayedStore_.onApplied(records_.targetPrefix(), revision);
    });
}

void GatewayHost::onConfiguration(const std::shared_ptr<const RoutingTable> &table, TimePoint provenAt)
{
    cacheStoreDuty_.setStores(table->cacheStores);
    gateway_.post([table, provenAt](Gateway &gateway) { gateway.setTable(table, provenAt); });
}

void GatewayHost::onWeights(const PublishedWeights &weights)
{
    gateway_.post([weights](Gateway &gateway) { gateway.setPublishedWeights(weights); });
}

} // namespace Lovageloft
