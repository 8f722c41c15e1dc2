#include "drivers/etcd_codec.h"

#include <openssl/evp.h>

namespace Lovageloft
{

namespace
{

constexpr std::size_t bytesPerGroup = 3;
constexpr std::size_t digitsPerGroup = 4;

} // namespace

std::string encodeBase64(std::string_view bytes)
{
    std::string text((bytes.size() + bytesPerGroup - 1) / bytesPerGroup * digitsPerGroup + 1, '\0'); // One more for the encoder's terminating zero.
    const int length =
        EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()), reinterpret_cast<const unsigned char *>(bytes.data()), static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(length));
    return text;
}

std::optional<std::string> decodeBase64(std::string_view text)
{
    if (text.size() % digitsPerGroup != 0) {
        return std::nullopt;
    }
    std::string bytes(text.size() / digitsPerGroup * bytesPerGroup, '\0');
    const int length =
        EVP_DecodeBlock(reinterpret_cast<unsigned char *>(bytes.data()), reinterpret_cast<const unsigned char *>(text.data()), static_cast<int>(text.size()));
    if (length < 0) {
        return std::nullopt;
    }
    const std::size_t lastDigit = text.find_last_not_of('=');
    const std::size_t padding = text.empty() ? 0 : text.size() - 1 - (lastDigit == std::string_view::npos ? 0 : lastDigit);
    bytes.resize(padding > bytes.size() ? 0 : bytes.size() - padding);
    return bytes;
}

std::string prefixRangeEnd(std::string_view prefix)
{
    constexpr char lastByte = '\xff';
    std::string end(prefix);
    while (!end.empty() && end.back() == lastByte) {
        end.pop_back();
    }
    if (end.empty()) {
        return std::string(1, '\0');
    }
    end.back() = static_cast<char>(static_cast<unsigned char>(end.back()) + 1);
    return end;
}

} // namespace Lovageloft
