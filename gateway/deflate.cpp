#include "gateway/deflate.h"

#include <array>
#include <sstream>

#include <Poco/DeflatingStream.h>
#include <Poco/Exception.h>
#include <Poco/InflatingStream.h>
#include <Poco/MemoryStream.h>

namespace Lovageloft
{

std::string deflated(std::string_view bytes)
{
    std::ostringstream out;
    constexpr int fastestLevel = 1;
    Poco::DeflatingOutputStream deflater(out, Poco::DeflatingStreamBuf::STREAM_ZLIB, fastestLevel);
    deflater.write(bytes.data(), static_cast<std::streamsize>(bytes.size()));
    deflater.close();
    return std::move(out).str();
}

std::optional<std::string> inflated(std::string_view bytes, std::size_t maxBytes)
{
    try {
        Poco::MemoryInputStream in(bytes.data(), static_cast<std::streamsize>(bytes.size()));
        Poco::InflatingInputStream inflater(in, Poco::InflatingStreamBuf::STREAM_ZLIB);
        std::string out;
        std::array<char, 4'096> chunk{};
        while (inflater.read(chunk.data(), chunk.size()) || inflater.gcount() > 0) {
            out.append(chunk.data(), static_cast<std::size_t>(inflater.gcount()));
            if (out.size() > maxBytes) {
                return std::nullopt;
            }
        }
        return out.empty() ? std::nullopt : std::optional(std::move(out));
    } catch (const Poco::Exception &) {
        return std::nullopt;
    }
}

} // namespace Lovageloft
