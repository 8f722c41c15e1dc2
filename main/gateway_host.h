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
#include "gateway/target_duty.h"
#include "gateway/weights_duty.h"
#include "platform/engine_control.h"
#include "platform/kv_store.h"
#include "platform/protocols.h"
#include "platform/store_records.h"

namespace Lovageloft
{

/// One host on the users' platform: the gateway and the duties that feed it, wired to the platform's formats.
class GatewayHost
{
public:
    /// `metricsPort`: where metrics and operators' calls are answered on this host's address; 0 for nowhere.
    GatewayHost(const GatewaySettings &settings, std::uint16_t metricsPort);

    /// Opens the ports and starts the duties.
    bool start(Reason &reason);

    /// Serves until a shutdown asked for with `drain` has ended.
    void run();

    /// Takes settings that were read again, and tells which of them need a new start. For any thread.
    void reload(const GatewaySettings &settings);

    /// For any thread.
    void drain();

private:
    ConfigurationFeed::Listeners listeners();
    HostDuty::Options hostOptions();
    WeightsDuty::Options weightsOptions();
    void onTargets(const std::shared_ptr<const TargetMap> &targets);
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
    WeightsDuty weightsDuty_;
    CacheStoreDuty cacheStoreDuty_;
};

} // namespace Lovageloft
