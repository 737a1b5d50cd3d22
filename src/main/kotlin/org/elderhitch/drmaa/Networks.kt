package org.elderhitch.drmaa

import inet.ipaddr.AddressStringException
import inet.ipaddr.IPAddress
import inet.ipaddr.IPAddressString

/** Where DRMAA clients may come from. */
public class Networks private constructor(private val allowed: List<IPAddress>) {
    /** [from]: an IP number, as a socket tells it. Unknown origins are outside. */
    public fun allow(from: String?): Boolean {
        val address = from?.let { IPAddressString(it.substringBefore('%')).address } ?: return false
        // A socket that serves both families tells IPv4 clients as mapped into IPv6.
        val plain = if (address.isIPv6 && address.toIPv6().isIPv4Mapped) {
            address.toIPv6().embeddedIPv4Address
        } else {
            address
        }
        return allowed.any { it.contains(plain) }
    }

    public companion object {
        public val LOOPBACK: List<String> = listOf("127.0.0.0/8", "::1")

        /**
         * Throws [IllegalArgumentException] naming what is no network. A network with host bits set is a mistake, not a
         * wider one.
         */
        public fun of(texts: List<String>): Networks = Networks(texts.map(::network))

        private fun network(text: String): IPAddress {
            val address = try {
                IPAddressString(text).toAddress()
            } catch (e: AddressStringException) {
                throw IllegalArgumentException("\"$text\" is no IP network: ${e.message}", e)
            }
            val unspecified = address == null || text.isBlank() || (address.isAnyLocal && !address.isPrefixed)
            require(!unspecified) { "\"$text\" is no IP network" }
            require(!address.isPrefixed || address.isPrefixBlock) { "\"$text\" has bits set beyond its prefix" }
            return address
        }
    }
}
