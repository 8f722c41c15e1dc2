#include "core/digest.h"

#include <array>
#include <span>
#include <stdexcept>
#include <vector>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

namespace Lovageloft
{

namespace
{

std::string toHex(std::span<const unsigned char> bytes)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string hex;
    hex.reserve(bytes.size() * 2);
    for (const unsigned char byte : bytes) {
        hex.push_back(digits[byte >> 4U]);
        hex.push_back(digits[byte & 0xfU]);
    }
    return hex;
}

} // namespace

std::string sha256Hex(std::string_view data)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int length = 0;
    if (EVP_Digest(data.data(), data.size(), digest.data(), &length, EVP_sha256(), nullptr) != 1) {
        throw std::runtime_error("SHA-256 is not available");
    }
    return toHex(std::span(digest).first(length));
}

std::string fingerprint(std::string_view secret)
{
    constexpr std::size_t digits = 8;
    return sha256Hex(secret).substr(0, digits);
}

std::string hmacSha256Hex(std::string_view secret, std::string_view data)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int length = 0;
    const auto *bytes = reinterpret_cast<const unsigned char *>(data.data());
    if (HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()), bytes, data.size(), digest.data(), &length) == nullptr) {
        throw std::runtime_error("HMAC-SHA-256 is not available");
    }
    return toHex(std::span(digest).first(length));
}

bool equalInConstantTime(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::string hexText(std::uint64_t value)
{
    std::array<unsigned char, sizeof value> bytes{};
    for (unsigned char &byte : bytes) {
        byte = static_cast<unsigned char>(value >> 56U);
        value <<= 8U;
    }
    return toHex(bytes);
}

std::string randomHex(std::size_t bytes)
{
    std::vector<unsigned char> buffer(bytes);
    if (RAND_bytes(buffer.data(), static_cast<int>(bytes)) != 1) {
        throw std::runtime_error("the system's random generator is not available");
    }
    return toHex(buffer);
}

} // namespace Lovageloft
