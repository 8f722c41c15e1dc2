#include "tests/stand_ins/link_proxy.h"

#include <array>
#include <atomic>
#include <future>
#include <optional>
#include <set>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include "tests/stand_ins/port_reservation.h"

namespace Lovageloft::StandIns
{

namespace
{

using boost::asio::ip::tcp;
using ErrorCode = boost::system::error_code;

constexpr int listenBacklog = 128;
constexpr std::size_t bufferBytes = 16'384;

/// Where to search for a port: another place for each proxy, and for proxies of other processes.
std::size_t nextStart()
{
    static std::atomic<std::size_t> next = static_cast<std::size_t>(std::chrono::steady_clock::now().time_since_epoch().count() / 1'000);
    return next++;
}

void resetConnection(tcp::socket &socket)
{
    ErrorCode ignored;
    socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

} // namespace

class LinkProxy::Forwarder
{
public:
    Forwarder(boost::asio::io_context &loop, std::uint16_t targetPort)
        : loop_(loop)
        , reservation_(1, nextStart())
        , own_(boost::asio::ip::address_v4::loopback(), reservation_.ports().at(0))
        , target_(boost::asio::ip::address_v4::loopback(), targetPort)
    {
        listen(listenBacklog);
        accept();
    }

    std::uint16_t port() const
    {
        return own_.port();
    }

    void setMode(LinkMode mode)
    {
        mode_ = mode;
        blockers_.clear();
        acceptor_.reset();
        if (mode == LinkMode::Up) {
            listen(listenBacklog);
            accept();
        } else if (mode == LinkMode::Silent || mode == LinkMode::LosesAnswers) {
            // Connections hang once the queue of an acceptor that accepts none is full.
            constexpr int blockerCount = 2;
            listen(0);
            for (int i = 0; i < blockerCount; ++i) {
                blockers_.emplace_back(loop_).async_connect(own_, [](const ErrorCode &) {});
            }
        }
        const auto pairs = pairs_;
        for (const auto &pair : pairs) {
            pair->onModeChanged();
        }
    }

private:
    /// A forwarded connection: the host's side and the target's.
    struct Pair : std::enable_shared_from_this<Pair>
    {
        Pair(Forwarder &forwarder, tcp::socket host)
            : forwarder_(forwarder)
            , host_(std::move(host))
            , targetSide_(forwarder.loop_)
        {
        }

        void start()
        {
            targetSide_.async_connect(forwarder_.target_, [self = shared_from_this()](const ErrorCode &error) {
                if (error) {
                    self->end(true);
                    return;
                }
                ErrorCode ignored;
                self->host_.set_option(tcp::no_delay(true), ignored);
                self->targetSide_.set_option(tcp::no_delay(true), ignored);
                self->read(true);
                self->read(false);
            });
        }

        void onModeChanged()
        {
            if (forwarder_.mode_ == LinkMode::Reset) {
                end(true);
                return;
            }
            for (const bool toTarget : {true, false}) {
                if (isHeld_[toTarget ? 0 : 1] && passes(toTarget)) {
                    isHeld_[toTarget ? 0 : 1] = false;
                    read(toTarget);
                }
            }
        }

        bool passes(bool toTarget) const
        {
            return forwarder_.mode_ != LinkMode::Silent && (toTarget || forwarder_.mode_ != LinkMode::LosesAnswers);
        }

        void read(bool toTarget)
        {
            tcp::socket &from = toTarget ? host_ : targetSide_;
            from.async_wait(tcp::socket::wait_read, [self = shared_from_this(), toTarget](const ErrorCode &error) {
                if (error) {
                    return;
                }
                if (!self->passes(toTarget)) {
                    self->isHeld_[toTarget ? 0 : 1] = true;
                    return;
                }
                self->forward(toTarget);
            });
        }

        void forward(bool toTarget)
        {
            tcp::socket &from = toTarget ? host_ : targetSide_;
            tcp::socket &to = toTarget ? targetSide_ : host_;
            auto buffer = std::make_shared<std::array<char, bufferBytes>>();
            ErrorCode error;
            const std::size_t got = from.read_some(boost::asio::buffer(*buffer), error);
            if (error) {
                end(error != boost::asio::error::eof);
                return;
            }
            boost::asio::async_write(
                to, boost::asio::buffer(buffer->data(), got), [self = shared_from_this(), toTarget, buffer](const ErrorCode &failed, std::size_t) {
                    if (failed) {
                        self->end(true);
                    } else {
                        self->read(toTarget);
                    }
                });
        }

        void end(bool isReset)
        {
            for (tcp::socket *socket : {&host_, &targetSide_}) {
                if (isReset) {
                    resetConnection(*socket);
                }
                ErrorCode ignored;
                socket->close(ignored);
            }
            forwarder_.pairs_.erase(shared_from_this());
        }

        Forwarder &forwarder_;
        tcp::socket host_;
        tcp::socket targetSide_;
        std::array<bool, 2> isHeld_{}; ///< By direction: to the target, to the host.
    };

    void listen(int backlog)
    {
        ErrorCode error;
        acceptor_.emplace(loop_);
        acceptor_->open(tcp::v4(), error);
        acceptor_->set_option(tcp::acceptor::reuse_address(true), error);
        acceptor_->bind(own_, error);
        if (!error) {
            acceptor_->listen(backlog, error);
        }
        if (error) {
            acceptor_.reset();
        }
    }

    void accept()
    {
        acceptor_->async_accept([this](const ErrorCode &error, tcp::socket socket) {
            if (error) {
                return;
            }
            const auto pair = std::make_shared<Pair>(*this, std::move(socket));
            pairs_.insert(pair);
            pair->start();
            accept();
        });
    }

    boost::asio::io_context &loop_;
    PortReservation reservation_; ///< Keeps the port while no connections are accepted.
    tcp::endpoint own_;
    tcp::endpoint target_;
    LinkMode mode_ = LinkMode::Up;
    std::optional<tcp::acceptor> acceptor_;
    std::vector<tcp::socket> blockers_;
    std::set<std::shared_ptr<Pair>> pairs_;
};

LinkProxy::LinkProxy(std::uint16_t targetPort)
    : work_(loop_.get_executor())
    , forwarder_(std::make_unique<Forwarder>(loop_, targetPort))
    , thread_([this] { loop_.run(); })
{
}

LinkProxy::~LinkProxy()
{
    loop_.stop();
    thread_.join();
}

std::uint16_t LinkProxy::port() const
{
    return forwarder_->port();
}

void LinkProxy::setMode(LinkMode mode)
{
    std::promise<void> done;
    boost::asio::post(loop_, [this, mode, &done] {
        forwarder_->setMode(mode);
        done.set_value();
    });
    done.get_future().wait();
}

} // namespace Lovageloft::StandIns
