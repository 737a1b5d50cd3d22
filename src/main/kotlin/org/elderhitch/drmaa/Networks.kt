package org.elderhitch.drmaa

import inet.ipaddr.AddressStringException
import inet.ipaddr.IPAddress
import inet.ipaddr.IPAddressString

/** The networks from which DRMAA clients may connect. */
public class Networks private constructor(private val allowed: List<IPAddress>) {
    /** [from]: the peer's IP address as reported by its socket; null or unreadable addresses are not allowed. */
    public fun allow(from: String?): Boolean {
        val address = from?.let { IPAddressString(it.substringBefore('%')).address } ?: return false
        // A dual-stack socket reports IPv4 clients as IPv4-mapped IPv6 addresses.
        val unmapped = if (address.isIPv6 && address.toIPv6().isIPv4Mapped) {
            address.toIPv6().embeddedIPv4Address
        } else {
            address
        }
        return allowed.any { it.contains(unmapped) }
    }

    public companion object {
        public val LOOPBACK: List<String> = listOf("127.0.0.0/8", "::1")

        /**
         * Throws [IllegalArgumentException] naming the text that is not a network. A network with host bits set is
         * rejected as a mistake rather than widened.
         */
        public fun of(texts: List<String>): Networks = Networks(texts.map(::network))

        private fun network(text: String): IPAddress {
            val address = try {
                IPAddressString(text).toAddress()
            } catch (e: AddressStringException) {
                throw IllegalArgumentException("\"$text\" is no IP network: ${e.message}", e)
            }
            val matchesAnyAddress = address == null || text.isBlank() || (address.isAnyLocal && !address.isPrefixed)
            require(!matchesAnyAddress) { "\"$text\" is no IP network" }
            require(!address.isPrefixed || address.isPrefixBlock) { "\"$text\" has bits set beyond its prefix" }
            return address
        }
    }
}
