#pragma once

#include "core/metrics.h"
#include "gateway/cache_store_duty.h"
#include "gateway/configuration_duty.h"
#include "gateway/gateway.h"
#include "gateway/gateway_settings.h"
#include "gateway/host_duty.h"
#include "gateway/measured_store.h"
#include "gateway/proof_duty.h"
#include "gateway/relayed_store.h"
#include "gateway/rollout_duty.h"
#include "gateway/skew_duty.h"
#include "gateway/store_probe_duty.h"
#include "gateway/target_duty.h"
#include "gateway/weights_duty.h"
#include "platform/engine_control.h"
#include "platform/kv_store.h"
#include "platform/protocols.h"
#include "platform/store_records.h"

namespace Lovageloft
{

/// A host on the users' platform: creates the gateway and its duties and connects them, with the platform's formats.
class GatewayHost
{
public:
    /// `metricsPort`: port of this host's address for metrics and operators' calls; 0 for none.
    GatewayHost(const GatewaySettings &settings, std::uint16_t metricsPort);

    /// Opens the ports and starts the duties. Returns false and sets `reason` if a port can't be opened.
    bool start(Reason &reason);

    /// Serves until the shutdown that `drain` starts has ended. Duties that wait for the store may still run then, so the process must end without
    /// destroying this object.
    void run();

    /// Applies settings that were read again, and logs which of them need a restart. May be called from any thread, but not concurrently.
    void reload(const GatewaySettings &settings);

    /// Starts a graceful shutdown. Thread-safe.
    void drain();

private:
    ConfigurationFeed::Listeners listeners();
    HostDuty::Options hostOptions();
    WeightsDuty::Options weightsOptions();
    RolloutDuty::Options rolloutOptions();
    void onTargets(const std::shared_ptr<const TargetMap> &targets, std::int64_t revision);
    void onConfiguration(const std::shared_ptr<const RoutingTable> &table, TimePoint provenAt);
    void onWeights(const PublishedWeights &weights);

    GatewaySettings settings_;
    Metrics metrics_;
    PlatformCallerProtocol callerProtocol_;
    PlatformTargetProtocol targetProtocol_;
    PlatformStoreRecords records_;
    PlatformEngineControl engineControl_;
    KvStore store_;
    MeasuredStore measuredStore_;
    RelayedStore relayedStore_;
    Gateway gateway_;
    ConfigurationFeed feed_;
    ConfigurationDuty configurationDuty_;
    ProofDuty proofDuty_;
    TargetDuty targetDuty_;
    HostDuty hostDuty_;
    StoreProbeDuty storeProbeDuty_;
    SkewDuty skewDuty_;
    WeightsDuty weightsDuty_;
    CacheStoreDuty cacheStoreDuty_;
    RolloutDuty rolloutDuty_;
};

} // namespace Lovageloft
