package org.elderhitch.drmaa

import org.apache.commons.codec.binary.Base64
import org.apache.commons.codec.digest.HmacAlgorithms
import org.apache.commons.codec.digest.HmacUtils
import org.elderhitch.settings.TeamName
import org.elderhitch.time.WallTime
import java.io.File
import java.io.IOException
import java.security.MessageDigest

/** What a token entitles to. */
public sealed interface Claim {
    public val team: TeamName

    /** To open sessions of a team, until [until] if that is set. */
    public data class Grant(override val team: TeamName, val until: WallTime?) : Claim

    /** To use one session, whoever opened it. */
    public data class InSession(override val team: TeamName, val session: SessionName) : Claim
}

/** Why a token isn't one; fit for whoever sent it. */
public class BadToken(message: String) : Exception(message)

/** The key file can't be used; the message names the file and the line. */
public class BadKeys(message: String, cause: Throwable? = null) : Exception(message, cause)

/**
 * Tokens: what they say, and a MAC over it under a key of the operators. Two keys may be valid at once: the first
 * signs, both
 * verify, so a key is changed by putting the new one before the old one, and taking the old one out once its tokens are
 * gone.
 */
public class Tokens(keys: List<Pair<String, ByteArray>>) {
    private val keys = keys.map { (id, secret) -> Key(id, secret) }

    private class Key(val id: String, secret: ByteArray) {
        private val mac = HmacUtils(HmacAlgorithms.HMAC_SHA_256, secret)

        fun sign(text: String): String = Base64.encodeBase64URLSafeString(mac.hmac(text))
    }

    public fun issue(claim: Claim): String {
        val key = keys.first()
        val said = when (claim) {
            is Claim.Grant -> "g.${packed(claim.team)}.${claim.until?.ms ?: 0}"
            is Claim.InSession -> "s.${packed(claim.team)}.${claim.session}"
        }
        val body = "${key.id}.$said"
        return "$body.${key.sign(body)}"
    }

    /** Throws [BadToken]. Nothing of what a token says is looked at before its MAC is. */
    public fun verify(token: String, now: WallTime): Claim {
        if (token.length > LONGEST) throw BadToken("not a token")
        val parts = token.split('.')
        if (parts.size != PARTS) throw BadToken("not a token")
        val key = keys.firstOrNull { it.id == parts[0] } ?: throw BadToken("a token of a key that is not valid here")
        val signed = key.sign(token.substringBeforeLast('.'))
        if (!MessageDigest.isEqual(signed.toByteArray(), parts.last().toByteArray())) {
            throw BadToken("not a token of ours")
        }
        val team = TeamName(String(Base64.decodeBase64(parts[TEAM]), Charsets.UTF_8))
        return when (parts[1]) {
            "g" -> {
                val until = parts[SUBJECT].toLongOrNull() ?: throw BadToken("not a token of ours")
                if (until != 0L && now > WallTime(until)) throw BadToken("the grant has run out")
                Claim.Grant(team, if (until == 0L) null else WallTime(until))
            }

            "s" -> Claim.InSession(team, SessionName.parse(parts[SUBJECT]) ?: throw BadToken("not a token of ours"))

            else -> throw BadToken("not a token of ours")
        }
    }

    /** The session that a client's opening with this number leads to, each time the same. */
    public fun sessionFor(team: TeamName, nonce: String): SessionName {
        // Under no key: a change of keys between an opening and its repeat must not open another session.
        val hash = HmacUtils(HmacAlgorithms.HMAC_SHA_256, "elderhitch session").hmac("${team.text}\u0000$nonce")
        val digits = StringBuilder(SessionName.LENGTH)
        for (n in 0 until SessionName.LENGTH) digits.append(ALPHABET[(hash[n].toInt() and BYTE) % ALPHABET.length])
        return SessionName(digits.toString())
    }

    private fun packed(team: TeamName): String = Base64.encodeBase64URLSafeString(team.text.toByteArray())

    public companion object {
        /** Parts of a token: key, kind, team, session or end of the grant, MAC. */
        private const val TEAM = 2
        private const val SUBJECT = 3
        private const val PARTS = 5
        private const val LONGEST = 1000
        private const val BYTE = 0xff
        private const val MOST_KEYS = 2
        private const val LEAST_SECRET = 16
        private const val ALPHABET = "abcdefghijklmnopqrstuvwxyz0123456789"
        private val ID = Regex("[A-Za-z0-9_-]{1,16}")

        /**
         * A key a line: a name, a space and at least 16 bytes in base64. Empty lines and those that begin with # don't
         * count. Throws [BadKeys].
         */
        public fun load(file: File): Tokens {
            val lines = try {
                file.readLines()
            } catch (e: IOException) {
                throw BadKeys("$file can't be read: ${e.message}", e)
            }
            return parse(file.name, lines)
        }

        public fun parse(name: String, lines: List<String>): Tokens {
            val keys = ArrayList<Pair<String, ByteArray>>()
            for ((n, line) in lines.withIndex()) {
                if (line.isBlank() || line.startsWith("#")) continue
                val (id, secret) = line.trim().split(Regex("\\s+")).takeIf { it.size == 2 }
                    ?: throw BadKeys("$name:${n + 1}: not a name and a secret")
                if (!ID.matches(id)) throw BadKeys("$name:${n + 1}: the key's name must match $ID")
                if (keys.any { it.first == id }) throw BadKeys("$name:${n + 1}: the name $id is taken")
                val bytes = if (Base64.isBase64(secret)) Base64.decodeBase64(secret) else ByteArray(0)
                if (bytes.size < LEAST_SECRET) {
                    throw BadKeys("$name:${n + 1}: the secret is no base64 of at least $LEAST_SECRET bytes")
                }
                keys.add(id to bytes)
            }
            if (keys.isEmpty()) throw BadKeys("$name: holds no key")
            if (keys.size > MOST_KEYS) throw BadKeys("$name: holds more than $MOST_KEYS keys")
            return Tokens(keys)
        }
    }
}
