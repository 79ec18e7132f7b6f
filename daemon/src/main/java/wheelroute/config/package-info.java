/**
 * Reads and checks the environment (LB_*), the configuration file and the settings, and supplies
 * their defaults. {@link wheelroute.config.ConfigReader} is the entry for the service, {@link
 * wheelroute.config.SettingsReader} for the adapter; {@code ConfigKeys} maps all keys to our terms.
 */
package wheelroute.config;
