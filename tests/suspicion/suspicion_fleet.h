#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "core/random.h"
#include "suspicion/engine_suspicions.h"

namespace Lovageloft
{

/// A simulated fleet of hosts, each with an EngineSuspicions, and of engines of one service. Each host sends a request every `interval` on average to a
/// random engine that is neither suspected nor full, or as a probe. An engine with a free slot sends the first byte after 30 to 170 ms, where 100 ms are
/// expected, and the last one up to `maxStreamTime` later. Requests that wait at an engine that becomes suspected are sent elsewhere.
class SuspicionFleet
{
public:
    struct Options
    {
        Duration maxStreamTime = std::chrono::milliseconds(280);
        Duration interval = std::chrono::milliseconds(80);
        bool hasNotices = true; ///< Otherwise each host is on its own, and does not use a silent engine again.
        double loss = 0; ///< Part of the notices that is lost.
        Duration delay = std::chrono::milliseconds(1); ///< Of notices.
    };

    static constexpr std::size_t hostCount = 87;
    static constexpr std::size_t engineCount = 90;
    static constexpr std::size_t slots = 24;

    explicit SuspicionFleet(const Options &options)
        : options_(options)
    {
        std::vector<SuspicionEngine> engines;
        for (const Engine &engine : engines_) {
            engines.push_back({std::to_string(&engine - engines_.data()), "service", 1});
        }
        std::vector<std::string> names;
        for (std::size_t host = 0; host < hostCount; ++host) {
            names.push_back(std::to_string(host));
        }
        for (std::size_t host = 0; host < hostCount; ++host) {
            hosts_[host].suspicions.setHosts(names[host], options.hasNotices ? std::span(names) : std::span(names).subspan(host, 1));
            hosts_[host].suspicions.setEngines(engines, now_);
            schedule(host, randomUpTo(random_, 2 * options.interval), [this, host] { onRequest(host); });
            schedule(host, randomUpTo(random_, checkInterval), [this, host] { check(host); });
        }
    }

    void runFor(Duration duration)
    {
        const TimePoint until = now_ + duration;
        while (events_.begin()->first <= until) {
            auto node = events_.extract(events_.begin());
            now_ = node.key();
            node.key() = hosts_[node.mapped().host].pausedUntil;
            if (node.key() > now_) {
                events_.insert(std::move(node));
                continue;
            }
            node.mapped().run();
        }
        now_ = until;
    }

    void setSilent(std::size_t engine, bool isSilent)
    {
        engines_[engine].isSilent = isSilent;
    }

    void setLinksCut(std::size_t host, bool isCut)
    {
        hosts_[host].isCut = isCut;
    }

    void pause(std::size_t host, Duration duration)
    {
        hosts_[host].pausedUntil = now_ + duration;
        schedule(host, duration, [this, host, duration] { hosts_[host].suspicions.onPaused(duration, now_); });
    }

    /// The number of pairs of host and engine in which the host suspects the engine.
    std::size_t suspicions() const
    {
        std::size_t count = 0;
        for (std::size_t pair = 0; pair < hostCount * engineCount; ++pair) {
            count += hosts_[pair / engineCount].suspicions.isSuspected(std::to_string(pair % engineCount), now_) ? 1 : 0;
        }
        return count;
    }

    std::size_t sentToSilent = 0;
    std::size_t probesToSilent = 0; ///< Part of sentToSilent.
    std::size_t rejected = 0;
    std::size_t served = 0;
    std::size_t datagrams = 0;
    std::size_t accusations = 0; ///< Notices of silence.
    std::map<std::string, std::vector<TimePoint>> fullNotices; ///< By engine.

private:
    static constexpr Duration checkInterval = std::chrono::milliseconds(50);

    struct Event
    {
        std::size_t host;
        std::function<void()> run;
    };

    struct Request
    {
        std::string engine;
        TimePoint sentAt;
        bool isProbe;
    };

    struct Host
    {
        EngineSuspicions suspicions;
        std::map<std::size_t, Request> waiting; ///< For their first byte.
        TimePoint pausedUntil;
        bool isCut = false;
    };

    struct Engine
    {
        std::size_t busy = 0;
        bool isSilent = false;
    };

    void schedule(std::size_t host, Duration delay, std::function<void()> run)
    {
        events_.emplace(now_ + delay, Event{host, std::move(run)});
    }

    void onRequest(std::size_t host)
    {
        schedule(host, randomUpTo(random_, 2 * options_.interval), [this, host] { onRequest(host); });
        place(host);
    }

    void place(std::size_t host)
    {
        EngineSuspicions &suspicions = hosts_[host].suspicions;
        std::vector<std::size_t> candidates;
        for (std::size_t engine = 0; engine < engineCount; ++engine) {
            const std::string name = std::to_string(engine);
            if (options_.hasNotices && suspicions.mayProbe(name, now_)) {
                suspicions.onProbeSent(name, now_);
                send(host, engine, true);
                return;
            }
            if (!suspicions.isSuspected(name, now_) && !suspicions.fullUntil(name, now_)) {
                candidates.push_back(engine);
            }
        }
        if (!candidates.empty()) {
            send(host, candidates[randomBelow(random_, candidates.size())], false);
        }
    }

    void send(std::size_t host, std::size_t engine, bool isProbe)
    {
        Engine &target = engines_[engine];
        const std::string name = std::to_string(engine);
        sentToSilent += target.isSilent ? 1 : 0;
        probesToSilent += target.isSilent && isProbe ? 1 : 0;
        if (target.busy >= slots && !target.isSilent) {
            ++rejected;
            schedule(host, std::chrono::milliseconds(2), [this, host, name] {
                if (const auto notice = hosts_[host].suspicions.onRejected(name, now_)) {
                    fullNotices[name].push_back(now_);
                    broadcast(host, *notice);
                }
            });
            return;
        }
        ++target.busy;
        const std::size_t request = ++lastRequest_;
        hosts_[host].waiting.emplace(request, Request{name, now_, isProbe});
        const Duration firstByte = std::chrono::milliseconds(30) + randomUpTo(random_, std::chrono::milliseconds(140));
        schedule(host, firstByte, [this, host, request, engine] { onByte(host, request, engine); });
        schedule(host, firstByte + randomUpTo(random_, options_.maxStreamTime), [this, host, request, engine] {
            --engines_[engine].busy;
            served += engines_[engine].isSilent ? 0 : 1;
            onByte(host, request, engine);
        });
        schedule(host, std::chrono::seconds(5), [this, host, request] { hosts_[host].waiting.erase(request); });
    }

    void onByte(std::size_t host, std::size_t request, std::size_t engine)
    {
        if (!engines_[engine].isSilent && !hosts_[host].isCut) {
            hosts_[host].suspicions.onBytes(std::to_string(engine), now_);
            hosts_[host].waiting.erase(request);
        }
    }

    void check(std::size_t host)
    {
        schedule(host, checkInterval, [this, host] { check(host); });
        Host &self = hosts_[host];
        for (const auto &[id, request] : self.waiting) {
            if (const auto notice = self.suspicions.checkSilence(request.engine, request.sentAt, 0.1, now_)) {
                ++accusations;
                broadcast(host, *notice);
            }
        }
        const auto [suspected, cleared, announcements] = self.suspicions.takeChanges(now_);
        for (const EngineHeard &notice : announcements) {
            broadcast(host, notice);
        }
        const std::size_t moved = std::erase_if(self.waiting, [&engines = suspected](const auto &entry) {
            return !entry.second.isProbe && std::find(engines.begin(), engines.end(), entry.second.engine) != engines.end();
        });
        for (std::size_t request = 0; request < moved; ++request) {
            place(host);
        }
    }

    void broadcast(std::size_t from, const auto &notice)
    {
        for (std::size_t to = 0; to < hostCount; ++to) {
            if (to != from) {
                sendNotice(from, to, notice);
            }
        }
    }

    void sendNotice(std::size_t from, std::size_t to, const auto &notice)
    {
        constexpr std::size_t parts = 1'000;
        const bool isLost = static_cast<double>(randomBelow(random_, parts)) < options_.loss * parts;
        datagrams += options_.hasNotices ? 1 : 0;
        if (options_.hasNotices && !isLost && !hosts_[from].isCut && !hosts_[to].isCut) {
            schedule(to, options_.delay, [this, from, to, notice] { receive(from, to, notice); });
        }
    }

    void receive(std::size_t from, std::size_t to, const EngineSilent &notice)
    {
        if (const auto reply = hosts_[to].suspicions.onNotice(std::to_string(from), notice, now_)) {
            sendNotice(to, from, *reply);
        }
    }

    void receive(std::size_t /*from*/, std::size_t to, const auto &notice)
    {
        hosts_[to].suspicions.onNotice(notice, now_);
    }

    Options options_;
    Random random_{11};
    TimePoint now_{std::chrono::hours(1)};
    std::multimap<TimePoint, Event> events_;
    std::vector<Host> hosts_ = std::vector<Host>(hostCount);
    std::vector<Engine> engines_ = std::vector<Engine>(engineCount);
    std::size_t lastRequest_ = 0;
};

} // namespace Lovageloft
