#pragma once

#include <cstdint>
#include <memory>
#include <thread>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

namespace Lovageloft::StandIns
{

/// How a link between a host and a target behaves.
enum class LinkMode : std::uint8_t
{
    Up,
    Silent, ///< New connections hang, and no byte passes on established ones.
    Reset, ///< New connections are refused, and established ones are reset.
    RefusesNew, ///< New connections are refused, and established ones work.
    LosesAnswers, ///< New connections hang; bytes still pass to the target, but not back.
};

/// A TCP proxy on the loopback interface that stands for the link between a host and a target. It runs on a thread of its own.
class LinkProxy
{
public:
    /// Forwards connections to `targetPort`.
    explicit LinkProxy(std::uint16_t targetPort);
    ~LinkProxy();
    LinkProxy(const LinkProxy &) = delete;
    LinkProxy &operator=(const LinkProxy &) = delete;

    /// Port that stands for the target's.
    std::uint16_t port() const;

    /// Returns once the mode is in effect. Bytes that were held back pass when the link is up again, unless the connection has ended.
    void setMode(LinkMode mode);

private:
    class Forwarder;

    boost::asio::io_context loop_{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
    std::unique_ptr<Forwarder> forwarder_;
    std::thread thread_;
};

} // namespace Lovageloft::StandIns
