package org.elderhitch.drmaa

import org.apache.commons.codec.binary.Base64
import org.apache.commons.codec.digest.HmacAlgorithms
import org.apache.commons.codec.digest.HmacUtils
import org.elderhitch.settings.TeamName
import org.elderhitch.time.WallTime
import java.io.File
import java.io.IOException
import java.security.MessageDigest

/** The rights that a token grants. */
public sealed interface Claim {
    public val team: TeamName

    /** The right to open sessions of a team, until [until] if that is set. */
    public data class Grant(override val team: TeamName, val until: WallTime?) : Claim

    /** The right to use one session. */
    public data class InSession(override val team: TeamName, val session: SessionName) : Claim
}

/** A token is not valid; the message is safe to send to the client. */
public class BadToken(message: String) : Exception(message)

/** The key file can't be used; the message names the file and, where one is at fault, the line. */
public class InvalidKeyFile(message: String, cause: Throwable? = null) : Exception(message, cause)

/**
 * Issues and verifies tokens, which consist of a claim and its MAC under a key of the operators. Two keys may be valid
 * at once: the first signs, both verify. A key is rotated by putting the new one before the old one, and removing the
 * old one once its tokens are no longer in use.
 */
public class Tokens(keys: List<Pair<String, ByteArray>>) {
    private val keys = keys.map { (id, secret) -> Key(id, secret) }

    private class Key(val id: String, secret: ByteArray) {
        private val mac = HmacUtils(HmacAlgorithms.HMAC_SHA_256, secret)

        fun sign(text: String): String = Base64.encodeBase64URLSafeString(mac.hmac(text))
    }

    public fun issue(claim: Claim): String {
        val key = keys.first()
        val payload = when (claim) {
            is Claim.Grant -> "g.${encoded(claim.team)}.${claim.until?.ms ?: 0}"
            is Claim.InSession -> "s.${encoded(claim.team)}.${claim.session}"
        }
        val body = "${key.id}.$payload"
        return "$body.${key.sign(body)}"
    }

    /** Throws [BadToken]. Only a token's form and key id are looked at before its MAC is verified. */
    public fun verify(token: String, now: WallTime): Claim {
        if (token.length > MAX_LENGTH) throw BadToken("not a token")
        val parts = token.split('.')
        if (parts.size != PART_COUNT) throw BadToken("not a token")
        val key = keys.firstOrNull { it.id == parts[0] } ?: throw BadToken("a token of a key that is not valid here")
        val expectedMac = key.sign(token.substringBeforeLast('.'))
        if (!MessageDigest.isEqual(expectedMac.toByteArray(), parts.last().toByteArray())) {
            throw BadToken("not a token of ours")
        }
        val team = TeamName(String(Base64.decodeBase64(parts[TEAM_PART]), Charsets.UTF_8))
        return when (parts[1]) {
            "g" -> {
                val until = parts[SUBJECT_PART].toLongOrNull() ?: throw BadToken("not a token of ours")
                if (until != 0L && now > WallTime(until)) throw BadToken("the grant has expired")
                Claim.Grant(team, if (until == 0L) null else WallTime(until))
            }

            "s" -> Claim.InSession(
                team,
                SessionName.parse(parts[SUBJECT_PART]) ?: throw BadToken("not a token of ours"),
            )

            else -> throw BadToken("not a token of ours")
        }
    }

    /** The name of the session that an `open` request with [nonce] opens; the same for a retry. */
    public fun sessionFor(team: TeamName, nonce: String): SessionName {
        // Independent of the token keys: a key rotation between a request and its retry must not open another session.
        val hash = HmacUtils(HmacAlgorithms.HMAC_SHA_256, "elderhitch session").hmac("${team.text}\u0000$nonce")
        val digits = StringBuilder(SessionName.LENGTH)
        for (n in 0 until SessionName.LENGTH) digits.append(ALPHABET[(hash[n].toInt() and BYTE_MASK) % ALPHABET.length])
        return SessionName(digits.toString())
    }

    private fun encoded(team: TeamName): String = Base64.encodeBase64URLSafeString(team.text.toByteArray())

    public companion object {
        /** Parts of a token: key id, kind, team, session or expiry of the grant, MAC. */
        private const val TEAM_PART = 2
        private const val SUBJECT_PART = 3
        private const val PART_COUNT = 5
        private const val MAX_LENGTH = 1000
        private const val BYTE_MASK = 0xff
        private const val MAX_KEYS = 2
        private const val MIN_SECRET_BYTES = 16
        private const val ALPHABET = "abcdefghijklmnopqrstuvwxyz0123456789"
        private val ID = Regex("[A-Za-z0-9_-]{1,16}")

        /**
         * Reads a file with one key per line: a name, white space and at least 16 bytes in base64. Blank lines and
         * those that begin with # are ignored. Throws [InvalidKeyFile].
         */
        public fun load(file: File): Tokens {
            val lines = try {
                file.readLines()
            } catch (e: IOException) {
                throw InvalidKeyFile("can't read $file: ${e.message}", e)
            }
            return parse(file.name, lines)
        }

        public fun parse(name: String, lines: List<String>): Tokens {
            val keys = ArrayList<Pair<String, ByteArray>>()
            for ((n, line) in lines.withIndex()) {
                if (line.isBlank() || line.startsWith("#")) continue
                val (id, secret) = line.trim().split(Regex("\\s+")).takeIf { it.size == 2 }
                    ?: throw InvalidKeyFile("$name:${n + 1}: must be a name and a secret")
                if (!ID.matches(id)) throw InvalidKeyFile("$name:${n + 1}: the key's name must match $ID")
                if (keys.any { it.first == id }) throw InvalidKeyFile("$name:${n + 1}: the name $id is used twice")
                val bytes = if (Base64.isBase64(secret)) Base64.decodeBase64(secret) else ByteArray(0)
                if (bytes.size < MIN_SECRET_BYTES) {
                    throw InvalidKeyFile(
                        "$name:${n + 1}: the secret must be at least $MIN_SECRET_BYTES bytes in base64",
                    )
                }
                keys.add(id to bytes)
            }
            if (keys.isEmpty()) throw InvalidKeyFile("$name: no key")
            if (keys.size > MAX_KEYS) throw InvalidKeyFile("$name: more than $MAX_KEYS keys")
            return Tokens(keys)
        }
    }
}
