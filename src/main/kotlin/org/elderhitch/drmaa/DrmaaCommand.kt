package org.elderhitch.drmaa

import com.github.ajalt.clikt.core.CliktError
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.CoreCliktCommand
import com.github.ajalt.clikt.core.subcommands
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.restrictTo
import org.apache.commons.codec.binary.Base64
import org.elderhitch.http.Address
import org.elderhitch.settings.TeamName
import org.elderhitch.time.SystemWallClock
import java.io.File
import java.security.SecureRandom
import kotlin.time.Duration.Companion.days

/** Exit code for a usage error. */
private const val USAGE_ERROR = 2

/** Commands for operators: make token keys, and contact strings for users. */
internal class DrmaaCommand : CoreCliktCommand(name = "drmaa") {
    init {
        subcommands(NewKey(), Contact())
    }

    override fun help(context: Context): String = "Make keys and contact strings for DRMAA clients"

    override fun run() = Unit
}

private class NewKey : CoreCliktCommand(name = "key") {
    private val id by option("--name", help = "the key's name, which appears in its tokens").required()

    override fun help(context: Context): String =
        "Print a new line for the key file; the first key signs tokens, both verify them"

    override fun run() {
        val secret = ByteArray(SECRET_BYTES).also { SecureRandom().nextBytes(it) }
        val line = "$id ${Base64.encodeBase64URLSafeString(secret)}"
        try {
            Tokens.parse("--name", listOf(line))
        } catch (e: InvalidKeyFile) {
            throw CliktError(e.message, e, statusCode = USAGE_ERROR)
        }
        echo(line)
    }

    private companion object {
        const val SECRET_BYTES = 32
    }
}

private class Contact : CoreCliktCommand(name = "contact") {
    private val keys by option("--keys", help = "the key file").required()
    private val team by option("--team", help = "the team whose limits apply").required()
    private val nodes by option("--nodes", help = "the controllers' client addresses, comma-separated").required()
    private val days by option(
        "--days",
        help = "for how many days it can open sessions; unlimited by default",
    ).int().restrictTo(1..3650)

    override fun help(context: Context): String = "Print a contact string that lets a team's programs open sessions"

    override fun run() {
        val addresses = nodes.split(',').map {
            Address.parse(it)?.text
                ?: throw CliktError(
                    "--nodes: \"$it\" is not an address of the form 127.0.0.1:8080",
                    statusCode = USAGE_ERROR,
                )
        }
        val tokens = try {
            Tokens.load(File(keys))
        } catch (e: InvalidKeyFile) {
            throw CliktError(e.message, e, statusCode = USAGE_ERROR)
        }
        val until = days?.let { SystemWallClock.now() + it.days }
        echo("elderhitch://${addresses.joinToString(",")}?token=${tokens.issue(Claim.Grant(TeamName(team), until))}")
    }
}
