#include <iostream>

#include "coordination/freshness_gate.h"
#include "coordination/in_force_tracker.h"

using namespace Lovageloft;

/// Host "c" is disconnected while entry 2 withdraws a key. By the time the entry is in force, the gate of "c" has closed.
int main()
{
    constexpr Duration window = std::chrono::seconds(3);
    const HostLists hosts{{"a", "b", "c"}, {}};
    const TimePoint start(std::chrono::seconds(100));
    const auto at = [start](int second) { return start + std::chrono::seconds(second); };

    FreshnessGate cutOff("c", window, start);
    cutOff.setHosts(hosts);
    cutOff.setVersionHeld(1);
    cutOff.onStoreConfirmed(1, at(0));

    InForceTracker tracker(window);
    tracker.setHosts(hosts);
    tracker.track(2, at(1));
    for (int second = 1; second <= 5; ++second) {
        for (const char *holder : {"a", "b"}) {
            tracker.onPeerVersionReport({holder, 1, 2, true}, at(second), at(second));
        }
        tracker.advance(at(second));
        std::cout << "second " << second << ": c is " << (cutOff.isFresh(at(second)) ? "fresh" : "not fresh") << ", entry 2 is "
                  << (tracker.isInForce(2) ? "in force" : "committed") << ", lacking hosts: " << tracker.hostsLacking(2).size() << '\n';
    }
    // Host b finally answers c and reports a newer entry, which doesn't make c fresh.
    cutOff.onPeerVersionReport({"b", 1, 2, true}, at(6));
    std::cout << "second 6: c is " << (cutOff.isFresh(at(6)) ? "fresh" : "not fresh") << '\n';
    cutOff.setVersionHeld(2);
    std::cout << "with entry 2: c is " << (cutOff.isFresh(at(6)) ? "fresh" : "not fresh") << '\n';
    return 0;
}
