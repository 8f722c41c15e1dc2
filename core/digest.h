#pragma once

#include <cstdint>
#include <string>
#include <string_view>

/// Digests and random identifiers, by OpenSSL.
namespace Lovageloft
{

/// SHA-256 as 64 lower-case hexadecimal digits.
std::string sha256Hex(std::string_view data);

/// The first eight digits of its SHA-256: tells two secrets apart in a log without giving either away.
std::string fingerprint(std::string_view secret);

/// HMAC-SHA-256 of `data` under `secret` as 64 lower-case hexadecimal digits.
std::string hmacSha256Hex(std::string_view secret, std::string_view data);

/// Compares in a time that depends on the lengths only, so that a stranger can't guess a digest byte by byte.
bool equalInConstantTime(std::string_view left, std::string_view right);

/// The value as 16 lower-case hexadecimal digits.
std::string hexText(std::uint64_t value);

/// `bytes` bytes from the system's cryptographic generator, in hexadecimal. For nonces and incarnations.
std::string randomHex(std::size_t bytes);

} // namespace Lovageloft
