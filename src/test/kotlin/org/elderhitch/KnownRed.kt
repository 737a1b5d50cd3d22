package org.elderhitch

import org.junit.jupiter.api.extension.ExtensionContext
import org.junit.jupiter.api.extension.InvocationInterceptor
import org.junit.jupiter.api.extension.ReflectiveInvocationContext
import org.opentest4j.TestAbortedException
import java.io.File
import java.lang.reflect.Method

/** A test that fails for a real fault which could not be mended yet. [test]: its class, `#` and its name. */
internal data class RedLine(val test: String, val cause: String, val issue: String)

/** `KNOWN-RED.txt`: a line each, `class#name | cause | issue`, three at most; empty or missing: every test counts. */
internal class KnownRed(val lines: List<RedLine>, private val say: (String) -> Unit = ::println) {
    /** Runs a test. One that is listed is passed over if it fails, and fails if it passes: then its line has to go. */
    fun run(test: String, body: () -> Unit) {
        val line = lines.firstOrNull { it.test == test } ?: return body()
        try {
            body()
        } catch (@Suppress("TooGenericExceptionCaught") e: Throwable) {
            say("KNOWN RED ${line.test} | ${line.cause} | ${line.issue}")
            throw TestAbortedException("known red: ${line.cause}, ${line.issue}", e)
        }
        throw AssertionError("$test passes and stands in $FILE: take its line out")
    }

    companion object {
        const val FILE = "KNOWN-RED.txt"
        private const val MOST = 3
        private const val PARTS = 3

        fun parse(text: String, say: (String) -> Unit = ::println): KnownRed {
            val lines = text.lines().map { it.trim() }.filter { it.isNotEmpty() }.map { line ->
                val parts = line.split('|').map { it.trim() }
                require(
                    parts.size == PARTS &&
                        parts.all {
                            it.isNotEmpty()
                        } &&
                        '#' in parts[0],
                ) { "$FILE: not `class#name | cause | issue`: $line" }
                RedLine(parts[0], parts[1], parts[2])
            }
            require(lines.size <= MOST) { "$FILE: ${lines.size} lines, $MOST at most" }
            require(lines.map { it.test }.toSet().size == lines.size) { "$FILE: a test twice" }
            return KnownRed(lines, say)
        }

        fun read(): KnownRed = File(FILE).let { parse(if (it.exists()) it.readText() else "") }
    }
}

/** Stands between the runner and each test, by `META-INF/services`. */
internal class KnownRedTests : InvocationInterceptor {
    private val red = KnownRed.read()

    override fun interceptTestMethod(
        invocation: InvocationInterceptor.Invocation<Void?>,
        context: ReflectiveInvocationContext<Method>,
        extension: ExtensionContext,
    ) = red.run("${context.targetClass.name}#${context.executable.name}") { invocation.proceed() }
}
